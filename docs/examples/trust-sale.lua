-- The Trust, in a sale: short work first within each account, seat holds are
-- never given up, long summaries only where the large engines stand.
local long_answer = 800

function decide(request)
  local decision = {order = request.prefill_tokens + 4 * request.output_tokens}
  if request.pool == "seats" then
    decision.sheddable = false
  elseif request.output_tokens > long_answer then
    decision.data_halls = {"edinburgh", "glasgow"}
  end
  return decision
end
