#define DOCTEST_CONFIG_IMPLEMENT
#include "fescuestream/wire/frame.h"

#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    fescue::wire::start_crypto();
    return doctest::Context{argc, argv}.run();
}
