#define BOOST_TEST_MODULE burdockwheel
#include <boost/test/unit_test.hpp>
