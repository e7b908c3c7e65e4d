#include "node/node.h"

enum {
    /* The program, its threads, the configuration and the membership of a
     * large site, without work. */
    FIXED_MB = 64,
    /* Of the rest. */
    OUTPUTS_SHARE = 4,
};

/* Divides the memory that the process may use.  Each user keeps to its part;
 * together they leave a quarter for connections and for copies. */
void
node_memory_plan(int64_t memory_mb, struct node_memory *plan)
{
    int64_t rest = (memory_mb - FIXED_MB) << 20;

    plan->outputs = rest / OUTPUTS_SHARE;
}
