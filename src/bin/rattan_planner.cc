// rattan-planner: decides for a failure domain. See src/planner/program.h.

#include "base/log.h"
#include "planner/program.h"

int main(int argc, char** argv)
{
    rattan::planner::PlannerOptions options;
    rattan::Settings settings("rattan-planner", "Decides which gangs run where in a failure domain.");
    rattan::planner::declareSettings(settings, options);
    if (const auto code = settings.parse(argc, argv))
        return *code;
    rattan::startLog("rattan-planner", options.instance, rattan::parseLevel(options.logLevel));
    return rattan::planner::runPlanner(options);
}
