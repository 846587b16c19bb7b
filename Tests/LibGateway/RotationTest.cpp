//===-- RotationTest.cpp - Order in which a list is visited ---------------===//
//
// Guards against a stride that shares a divisor with the size of the list,
// which would skip a part of it.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/Rotation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace yardrill::gateway;

class RotationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RotationTest);
  CPPUNIT_TEST(testVisitsAllBeforeRepeating);
  CPPUNIT_TEST(testFirstIndexesSpreadOverTheList);
  CPPUNIT_TEST(testSizeMayChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void testVisitsAllBeforeRepeating() {
    for (std::size_t Size = 1; Size <= 450; ++Size) {
      Rotation Indexes;
      Indexes.setSize(Size);
      std::set<std::size_t> Visited;
      for (std::size_t I = 0; I < Size; ++I)
        Visited.insert(Indexes.next());
      CPPUNIT_ASSERT_EQUAL(Size, Visited.size());
    }
  }

  void testFirstIndexesSpreadOverTheList() {
    for (std::size_t Size : {80, 264, 281, 440}) {
      Rotation Indexes;
      Indexes.setSize(Size);
      // The first tenth of the indexes reaches each quarter of the list.
      std::set<std::size_t> Quarters;
      for (std::size_t I = 0; I < Size / 10; ++I)
        Quarters.insert(Indexes.next() * 4 / Size);
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), Quarters.size());
    }
  }

  void testSizeMayChange() {
    Rotation Indexes;
    Indexes.setSize(100);
    for (int I = 0; I < 70; ++I)
      Indexes.next();
    Indexes.setSize(3);
    for (int I = 0; I < 9; ++I)
      CPPUNIT_ASSERT(Indexes.next() < 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RotationTest);
