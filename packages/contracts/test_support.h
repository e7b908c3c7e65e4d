/*
 * test_support: helpers of the tests of contracts: admission requests, and a
 * controller with the events that it returned.
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
    struct contracts_admission admission = {};

    admission.ask_id = id;
    admission.class_ = kind;
    admission.wait_ms = wait_ms;
    admission.slots = slots;
    admission.term_ms = 2000;
    admission.weight = 1;
    g_strlcpy(admission.holder, "n1", sizeof(admission.holder));
    g_strlcpy(admission.operator_name, "kit-desk",
              sizeof(admission.operator_name));
    return admission;
}

/* A controller and its events since the last call of take_events(). */
class TestController {
  public:
    explicit TestController(const struct contracts_controller_desc &desc)
        : raw(contracts_controller_new(&desc)),
          collected(g_array_new(FALSE, FALSE, sizeof(struct contracts_event)))
    {
    }
    ~TestController()
    {
        g_array_free(collected, TRUE);
        contracts_controller_free(raw);
    }
    std::vector<struct contracts_event>
    take_events()
    {
        auto *first = (struct contracts_event *)(void *)collected->data;
        std::vector<struct contracts_event> moved(first,
                                                  first + collected->len);
        g_array_set_size(collected, 0);
        return moved;
    }
    std::vector<struct contracts_event>
    admit(const struct contracts_admission &admission, int64_t now_ms)
    {
        contracts_controller_admit(raw, &admission, now_ms, collected);
        return take_events();
    }
    std::vector<struct contracts_event>
    shrink(uint64_t contract, int slots, int64_t now_ms)
    {
        contracts_controller_shrink(raw, contract, slots, nullptr, now_ms,
                                    collected);
        return take_events();
    }
    std::vector<struct contracts_event>
    tick(int64_t now_ms)
    {
        contracts_controller_tick(raw, now_ms, collected);
        return take_events();
    }
    struct contracts_load
    load() const
    {
        struct contracts_load load;
        contracts_controller_load(raw, &load);
        return load;
    }

    struct contracts_controller *raw;
    GArray *collected;
};

#endif
