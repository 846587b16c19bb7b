#include "LibInstance/AnswerStore.h"

namespace yardrill::instance {

bool AnswerStore::keep(core::RequestId Runner, http::ResponseMessage Answer) {
  std::size_t Size = Answer.m_Body.size();
  if (Size > m_MostBytesOfOne || Size > m_MostBytes)
    return false;
  while (m_Bytes + Size > m_MostBytes)
    forget(m_ByAge.front());
  auto Age = m_ByAge.insert(m_ByAge.end(), Runner);
  m_Bytes += Size;
  m_Answers[Runner] = {
      std::make_shared<const http::ResponseMessage>(std::move(Answer)), Age};
  return true;
}

StoredAnswer AnswerStore::find(core::RequestId Runner) const {
  auto Found = m_Answers.find(Runner);
  return Found == m_Answers.end() ? nullptr : Found->second.m_Answer;
}

void AnswerStore::forget(core::RequestId Runner) {
  auto Found = m_Answers.find(Runner);
  if (Found == m_Answers.end())
    return;
  m_Bytes -= Found->second.m_Answer->m_Body.size();
  m_ByAge.erase(Found->second.m_Age);
  m_Answers.erase(Found);
}

} // namespace yardrill::instance
