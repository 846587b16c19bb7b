#include "LibInstance/ResponseStore.h"

namespace yardrill::instance {

bool ResponseStore::store(core::RequestId Runner,
                          http::ResponseMessage Response) {
  std::size_t Size = Response.m_Body.size();
  if (Size > m_MaxResponseBytes || Size > m_MaxBytes)
    return false;
  while (m_Bytes + Size > m_MaxBytes)
    discard(m_InsertionOrder.front());
  auto Age = m_InsertionOrder.insert(m_InsertionOrder.end(), Runner);
  m_Bytes += Size;
  m_Responses[Runner] = {
      std::make_shared<const http::ResponseMessage>(std::move(Response)), Age};
  return true;
}

StoredResponse ResponseStore::find(core::RequestId Runner) const {
  auto Found = m_Responses.find(Runner);
  return Found == m_Responses.end() ? nullptr : Found->second.m_Response;
}

void ResponseStore::discard(core::RequestId Runner) {
  auto Found = m_Responses.find(Runner);
  if (Found == m_Responses.end())
    return;
  m_Bytes -= Found->second.m_Response->m_Body.size();
  m_InsertionOrder.erase(Found->second.m_InsertionPosition);
  m_Responses.erase(Found);
}

} // namespace yardrill::instance
