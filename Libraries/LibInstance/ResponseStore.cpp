#include "LibInstance/ResponseStore.h"

namespace yardrill::instance {

bool ResponseStore::store(core::RequestId Request,
                          http::ResponseMessage Response) {
  std::size_t Size = Response.m_Body.size();
  if (Size > m_MaxResponseBytes || Size > m_MaxBytes)
    return false;
  while (m_Bytes + Size > m_MaxBytes)
    discard(m_InsertionOrder.front());
  auto Position = m_InsertionOrder.insert(m_InsertionOrder.end(), Request);
  m_Bytes += Size;
  m_Responses[Request] = {
      std::make_shared<const http::ResponseMessage>(std::move(Response)),
      Position};
  return true;
}

StoredResponse ResponseStore::find(core::RequestId Request) const {
  auto Found = m_Responses.find(Request);
  return Found == m_Responses.end() ? nullptr : Found->second.m_Response;
}

void ResponseStore::discard(core::RequestId Request) {
  auto Found = m_Responses.find(Request);
  if (Found == m_Responses.end())
    return;
  m_Bytes -= Found->second.m_Response->m_Body.size();
  m_InsertionOrder.erase(Found->second.m_InsertionPosition);
  m_Responses.erase(Found);
}

} // namespace yardrill::instance
