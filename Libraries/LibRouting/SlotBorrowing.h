//===-- SlotBorrowing.h - Borrows free slots from other groups ------------===//
//
// An instance knows the load of its own group only. While all slots of its
// subset are taken, others may stand free elsewhere, because instances differ
// in size and callers come in clumps.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SLOTBORROWING_H
#define YARDRILL_LIBROUTING_SLOTBORROWING_H

#include "LibCore/CorrelationIds.h"
#include "LibRouting/Dispatcher.h"
#include "LibRouting/SlotLeases.h"
#include "LibRouting/SlotQuestion.h"
#include "LibRouting/SlotQuestionRate.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// What SlotBorrowing needs of others. None of these calls it back.
struct SlotBorrowingHooks {
  /// Returns the instances whose subset of the pool is another one than that of
  /// this instance, with their data halls.
  std::function<FleetSubset::Fleet(const core::PoolName &)> m_InstancesOf;
  /// Sends a question to an instance; it can be lost.
  std::function<void(const config::Endpoint &, const SlotQuestion &)> m_Ask;
  /// Sends the most urgent waiting request that may use the target there, and
  /// returns it; none if there is none.
  std::function<std::optional<core::RequestId>(const TargetIncarnation &,
                                               core::TimePoint)>
      m_Use;
  /// Returns a slot to the instance that granted it; the message can be lost.
  std::function<void(const config::Endpoint &, SlotLeaseId)> m_Return;
  /// Returns a random number, uniform in [0, 1).
  std::function<double()> m_Draw;
};

/// Borrows slots of other groups for requests that found none in their own.
///
/// Answers a shortage in one group while others have free slots. A waiting
/// request with an objective asks two instances, one of them in the own data
/// hall if there is one; with two answers, a slot is missed only if both of
/// their groups have none. It asks again when both have answered, and no sooner
/// than after the answer timeout, which is short against the objectives of
/// callers and long against a round trip. In a shortage everywhere,
/// SlotQuestionRate bounds the number of questions.
class SlotBorrowing {
public:
  /// Time after which a question without an answer counts as not granted.
  static constexpr std::chrono::milliseconds AnswerTimeout{100};

  /// \param FirstQuestion see core::CorrelationIds.
  SlotBorrowing(const Dispatcher &Requests, core::DataHallName LocalDataHall,
                std::uint64_t FirstQuestion, SlotBorrowingHooks Hooks)
      : m_Requests(Requests), m_LocalDataHall(std::move(LocalDataHall)),
        m_Hooks(std::move(Hooks)), m_QuestionIds(FirstQuestion) {}

  /// Asks for slots for the waiting requests that may ask now, and gives up
  /// questions that were not answered in time. To be called when a request has
  /// to wait, and while any waits.
  void update(core::TimePoint Now);
  /// Asks for a slot for a request that would be refused otherwise, whether or
  /// not it waits yet. \returns whether an answer is awaited.
  bool awaitSlotFor(const PlacementRequest &Request, core::TimePoint Now);
  /// Uses a slot that was granted in response to a question, or returns it if
  /// no waiting request can use it (any more).
  void handleGrant(const config::Endpoint &From, std::uint64_t Question,
                   SlotLeaseId Lease, const TargetIncarnation &Target,
                   core::TimePoint Now);
  /// Records that an instance has no slot to spare.
  void handleNoSlot(const config::Endpoint &From, std::uint64_t Question);
  /// Returns the slot of a request that has ended, if it was borrowed.
  void recordEnd(core::RequestId Id);
  std::uint64_t questionCount() const { return m_QuestionCount; }
  std::uint64_t borrowedCount() const { return m_BorrowedCount; }

private:
  struct OpenQuestion {
    core::RequestId m_Request;
    core::PoolName m_Pool;
    core::TimePoint m_AskedAt{};
    std::set<config::Endpoint> m_Unanswered;
    bool m_IsGranted = false;
  };
  struct BorrowedSlot {
    config::Endpoint m_Lender;
    SlotLeaseId m_Lease = 0;
  };
  /// Instances to ask about one pool.
  struct LenderList {
    std::vector<config::Endpoint> m_All;
    std::vector<config::Endpoint> m_InLocalHall;
    core::TimePoint m_UpdatedAt{};
  };

  /// Gives up questions that were not answered in time.
  void expire(core::TimePoint Now);
  /// Asks for a slot, if a question is due. \returns whether it asked.
  bool askFor(const PlacementRequest &Request, core::TimePoint Now);
  /// Whether the request may ask now: it has an objective, and its last
  /// question has been answered or has timed out.
  bool isDue(const PlacementRequest &Request, core::TimePoint Now) const;
  const LenderList &lendersOf(const core::PoolName &Pool, core::TimePoint Now);
  /// Returns the time for which a request is expected to need a slot; zero if
  /// unknown.
  core::Duration expectedTime(const PlacementRequest &Request,
                              core::TimePoint Now) const;
  /// Returns the addresses to ask, at most two different ones.
  std::vector<config::Endpoint> drawLenders(const LenderList &From);
  /// Returns a random index below \p Count, which is not 0.
  std::size_t drawIndex(std::size_t Count);
  /// Whether a lease is in use; a datagram may arrive twice.
  bool isBorrowed(const config::Endpoint &From, SlotLeaseId Lease) const;
  /// Records the answer of one instance; the last one closes the question.
  void recordAnswer(const config::Endpoint &From, std::uint64_t Question,
                    bool IsGranted);
  /// Records the outcome of a question and removes it.
  void close(std::map<std::uint64_t, OpenQuestion>::iterator Question);

  const Dispatcher &m_Requests;
  core::DataHallName m_LocalDataHall;
  SlotBorrowingHooks m_Hooks;
  std::map<std::uint64_t, OpenQuestion> m_Questions; ///< By question id.
  /// Time of the last decision whether to ask, by waiting request.
  std::unordered_map<core::RequestId, core::TimePoint> m_DecidedAt;
  std::unordered_map<core::RequestId, BorrowedSlot> m_Borrowed;
  std::map<core::PoolName, SlotQuestionRate> m_Rates;
  std::map<core::PoolName, LenderList> m_Lenders;
  core::CorrelationIds m_QuestionIds;
  std::uint64_t m_QuestionCount = 0;
  std::uint64_t m_BorrowedCount = 0;
};

} // namespace yardrill::routing

#endif
