-- The club, on a tournament evening: questions before annotations, and
-- annotations of the members' own account before all others'.
function decide(request)
  local order = request.output_tokens
  if request.account == "members" then
    order = order / 2
  end
  return {order = order, sheddable = request.repeatable}
end
