#include "app/command_line.hpp"

int main(int argc, char** argv)
{
    return acaciaslip::app::runCommandLine(argc, argv);
}
