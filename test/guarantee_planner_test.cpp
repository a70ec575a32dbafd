#include "placement/guarantee_planner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <random>
#include <vector>

namespace anvilmoor {

class GuaranteePlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GuaranteePlannerTest);
    CPPUNIT_TEST(testShapesThatBestFitMissesAreFoundBySearch);
    CPPUNIT_TEST(testShapeAboveARackNeedsConsecutiveRacks);
    CPPUNIT_TEST(testRandomPackingsAgreeWithExhaustiveSearch);
    CPPUNIT_TEST(testPackingOfManyShapesNeverOverbooksRacks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rejecting a configuration that does fit: best-fit decreasing places one 6 in each rack
    // and then has no rack for the second 5.
    void testShapesThatBestFitMissesAreFoundBySearch()
    {
        const std::vector<int> room { 12, 10 };
        const std::vector<int> shapes { 6, 6, 5, 5 };
        CPPUNIT_ASSERT(packShapes(room, shapes));
        CPPUNIT_ASSERT(!packShapes(room, std::vector<int> { 7, 7, 7 }));
    }

    // Guards against room in racks that are not adjacent being counted as adjacent.
    void testShapeAboveARackNeedsConsecutiveRacks()
    {
        const std::vector<int> shapes { 100 };
        CPPUNIT_ASSERT(packShapes(std::vector<int> { 64, 40, 0 }, shapes, 64));
        CPPUNIT_ASSERT(!packShapes(std::vector<int> { 64, 0, 64 }, shapes, 64));
        CPPUNIT_ASSERT(!packShapes(std::vector<int> { 25, 25, 25, 25 }, shapes, 64));
        CPPUNIT_ASSERT(!packShapes(std::vector<int> { 40, 40 }, std::vector<int> { 48 }, 64));
        // Two runs share the rack between them.
        CPPUNIT_ASSERT(packShapes(std::vector<int> { 64, 64, 64 }, std::vector<int> { 96, 96 }, 64));
        CPPUNIT_ASSERT(!packShapes(std::vector<int> { 64, 64, 64 }, std::vector<int> { 96, 97 }, 64));
    }

    // Guards against a search that prunes valid placements or overbooks racks.
    void testRandomPackingsAgreeWithExhaustiveSearch()
    {
        std::mt19937 random(5);
        int fits = 0;
        for (int round = 0; round < 2'000; ++round) {
            std::vector<int> room(1 + random() % 4);
            for (int& accelerators : room)
                accelerators = int(random() % 17);
            std::vector<int> shapes(1 + random() % 6);
            for (int& shape : shapes)
                shape = 1 + int(random() % 10);
            const auto packed = packShapes(room, shapes, 16);
            CPPUNIT_ASSERT_EQUAL(fitsByEnumeration(room, shapes, 0), packed.has_value());
            fits += packed.has_value();
            if (packed)
                checkPacking(room, shapes, 16, *packed);
        }
        CPPUNIT_ASSERT(fits > 400 && fits < 1'600);
    }

    // Guards against overbooked racks when the search reaches its limit before it has tried all placements.
    void testPackingOfManyShapesNeverOverbooksRacks()
    {
        std::mt19937 random(6);
        const std::vector<int> room(200, 64);
        std::vector<int> shapes;
        for (int total = 0; total < 200 * 64 * 9 / 10; total += shapes.back())
            shapes.push_back(random() % 20 ? 1 + int(random() % 64) : 65 + int(random() % 448));
        const auto packed = packShapes(room, shapes, 64);
        if (packed)
            checkPacking(room, shapes, 64, *packed);
        shapes.resize(shapes.size() / 2);
        const auto half = packShapes(room, shapes, 64);
        CPPUNIT_ASSERT(half);
        checkPacking(room, shapes, 64, *half);
    }

private:
    static bool fitsByEnumeration(
        std::vector<int>& room, const std::vector<int>& shapes, std::size_t position)
    {
        if (position == shapes.size())
            return true;
        for (int& accelerators : room) {
            if (accelerators < shapes[position])
                continue;
            accelerators -= shapes[position];
            const bool isFitting = fitsByEnumeration(room, shapes, position + 1);
            accelerators += shapes[position];
            if (isFitting)
                return true;
        }
        return false;
    }

    static void checkPacking(std::vector<int> room, const std::vector<int>& shapes, int rackSize,
        const std::vector<ShapePlacement>& placements)
    {
        CPPUNIT_ASSERT_EQUAL(shapes.size(), placements.size());
        for (std::size_t shape = 0; shape < shapes.size(); ++shape) {
            int sum = 0;
            const std::vector<RackShare>& shares = placements[shape].shares;
            for (std::size_t index = 0; index < shares.size(); ++index) {
                CPPUNIT_ASSERT(shares[index].accelerators > 0);
                CPPUNIT_ASSERT_EQUAL(shares[0].rack + index, shares[index].rack);
                room[shares[index].rack] -= shares[index].accelerators;
                CPPUNIT_ASSERT(room[shares[index].rack] >= 0);
                sum += shares[index].accelerators;
            }
            CPPUNIT_ASSERT_EQUAL(shapes[shape], sum);
            CPPUNIT_ASSERT(shapes[shape] > rackSize || shares.size() == 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteePlannerTest);

} // namespace anvilmoor
