-- Strictly by arrival within each account; sheds large work when much waits.
function decide(request)
  local crowded = request.queued > 200
  return {order = 0, sheddable = crowded or request.output_tokens < 100}
end
