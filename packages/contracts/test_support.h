/*
 * test_support: what the tests of contracts share: asks and events.
 */
#ifndef CARDAMOM_CONTRACTS_TEST_SUPPORT_H
#define CARDAMOM_CONTRACTS_TEST_SUPPORT_H

#include <vector>

#include "contracts/contracts.h"

inline struct contracts_controller_desc
make_desc(int slots)
{
    struct contracts_controller_desc desc = {};

    desc.slots = slots;
    desc.first_token_target_ms = 380;
    desc.inter_token_target_ms = 73;
    desc.long_share = 0.5;
    desc.batch_share = 1.0;
    desc.id_seed = 1;
    return desc;
}

inline struct contracts_admission
make_admission(uint64_t id, enum contracts_class kind, int64_t wait_ms,
               int slots)
{
    struct contracts_admission ask = {};

    ask.ask_id = id;
    ask.class_ = kind;
    ask.wait_ms = wait_ms;
    ask.slots = slots;
    ask.term_ms = 2000;
    ask.weight = 1;
    g_strlcpy(ask.holder, "n1", sizeof(ask.holder));
    g_strlcpy(ask.operator_name, "kit-desk", sizeof(ask.operator_name));
    return ask;
}

/* A keeper and what it said since the last call of take. */
class Table {
  public:
    explicit Table(const struct contracts_controller_desc &desc)
        : keeper(contracts_controller_new(&desc)),
          events(g_array_new(FALSE, FALSE, sizeof(struct contracts_event)))
    {
    }
    ~Table()
    {
        g_array_free(events, TRUE);
        contracts_controller_free(keeper);
    }
    std::vector<struct contracts_event>
    take()
    {
        auto *first = (struct contracts_event *)(void *)events->data;
        std::vector<struct contracts_event> taken(first, first + events->len);
        g_array_set_size(events, 0);
        return taken;
    }
    std::vector<struct contracts_event>
    ask(const struct contracts_admission &ask, int64_t now_ms)
    {
        contracts_controller_admit(keeper, &ask, now_ms, events);
        return take();
    }
    std::vector<struct contracts_event>
    shrink(uint64_t contract, int slots, int64_t now_ms)
    {
        contracts_controller_shrink(keeper, contract, slots, nullptr, now_ms,
                                    events);
        return take();
    }
    std::vector<struct contracts_event>
    tick(int64_t now_ms)
    {
        contracts_controller_tick(keeper, now_ms, events);
        return take();
    }
    struct contracts_load
    load() const
    {
        struct contracts_load load;
        contracts_controller_load(keeper, &load);
        return load;
    }

    struct contracts_controller *keeper;
    GArray *events;
};

#endif
