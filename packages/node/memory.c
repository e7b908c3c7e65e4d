#include "node/node.h"

enum {
    /* The program, its threads, the configuration and the membership of a
     * large site, without work. */
    FIXED_MB = 64,
    /* Of the rest. */
    OUTPUTS_SHARE = 4,
    INPUTS_SHARE = 4,
    BODIES_SHARE = 4,
    TRANSFERS_SHARE = 24, /* some five copies of each are made */
};

/* Divides the memory that the process may use.  Each user keeps to its part;
 * together they leave some for connections and for copies. */
void
node_memory_plan(int64_t memory_mb, struct node_memory *plan)
{
    int64_t rest = (memory_mb - FIXED_MB) << 20;

    plan->outputs = rest / OUTPUTS_SHARE;
    plan->inputs = rest / INPUTS_SHARE;
    plan->bodies = rest / BODIES_SHARE;
    plan->transfers = rest / TRANSFERS_SHARE;
}
