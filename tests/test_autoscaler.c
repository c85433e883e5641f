/**
 * Tests of the decisions of the autoscaler, made on the leader of a simulated cluster. Only
 * requests to the cloud provider may have an effect.
 */
#include "world.h"

#include "autoscaler_capacity.h"
#include "autoscaler_orders.h"
#include "autoscaler_plan.h"
#include "autoscaler_scale_in.h"
#include "shard.h"

/**
 * Half of a machine of the simulated cluster's only type, so that a machine holds two such tasks.
 */
static const struct resources HALF_MACHINE = {{4000}, {0}, {1000}, 1};

/** Returns the leader once it knows the machine types and the rented machines. */
static struct leader *wait_for_ready_leader(struct world *world)
{
    world_run(world, 4000);
    struct leader *leader = world_get_leader(world)->leader;
    assert_true(cloud_provider_has_complete_list(leader->cloud));
    return leader;
}

/** Returns a plan without the pending machines that the cluster has requested by itself. */
static struct scale_out_plan *new_plan_without_pending(struct leader *leader)
{
    struct scale_out_plan *plan = scale_out_plan_new(leader);
    g_array_set_size(plan->pending, 0);
    return plan;
}

/** Returns an entry of the plan's planned machines. */
static const struct planned_machines *get_planned_machines(const struct scale_out_plan *plan,
                                                           guint index)
{
    return &g_array_index(plan->planned_machines, struct planned_machines, index);
}

/** Returns how many machines have been requested for an offer. */
static int count_requested(struct leader *leader, const struct machine_offer *offer)
{
    return cloud_provider_count_requested(leader->cloud, offer->type->name, offer->zone,
                                          offer->is_spot);
}

/**
 * The machines of a plan count as requested once it is passed to autoscaler_request_scale_out(),
 * not when it is made or when another plan is made.
 */
static void scale_out_plan_has_no_effect_until_it_is_requested(void **state)
{
    struct leader *leader = wait_for_ready_leader(*state);
    struct job_spec spec = {.may_use_spot = true};
    struct capacity_request request = {&spec, HALF_MACHINE, NULL, true};
    struct scale_out_plan *plan = new_plan_without_pending(leader);
    assert_int_equal(scale_out_plan_add_tasks(plan, &request, 5), 0);
    assert_int_equal(plan->planned_machines->len, 1);
    assert_int_equal(plan->machine_count, 3);
    const struct machine_offer *offer = &get_planned_machines(plan, 0)->offer;
    assert_true(offer->is_spot);
    int requested = count_requested(leader, offer);
    struct scale_out_plan *second_plan = scale_out_plan_new(leader);
    assert_int_equal(count_requested(leader, offer), requested);
    autoscaler_request_scale_out(leader->cloud, plan);
    assert_int_equal(count_requested(leader, offer), requested + 3);
    scale_out_plan_free(second_plan);
    scale_out_plan_free(plan);
}

/**
 * Tasks that have to run in a zone and not on spot machines get on-demand machines in that zone.
 */
static void scale_out_plan_respects_zone_and_spot_constraints(void **state)
{
    struct leader *leader = wait_for_ready_leader(*state);
    struct job_spec spec = {.may_use_spot = false};
    struct capacity_request request = {&spec, HALF_MACHINE, "b", false};
    struct scale_out_plan *plan = new_plan_without_pending(leader);
    assert_int_equal(scale_out_plan_add_tasks(plan, &request, 4), 0);
    assert_int_equal(plan->planned_machines->len, 1);
    assert_int_equal(get_planned_machines(plan, 0)->machine_count, 2);
    assert_string_equal(get_planned_machines(plan, 0)->offer.zone, "b");
    assert_false(get_planned_machines(plan, 0)->offer.is_spot);
    /* Planned machines are pending from then on: a new machine has room for another half-machine
     * task. */
    assert_int_equal(scale_out_plan_add_tasks(plan, &request, 1), 0);
    assert_int_equal(plan->machine_count, 3);
    assert_int_equal(scale_out_plan_add_tasks(plan, &request, 1), 0);
    assert_int_equal(plan->machine_count, 3);
    scale_out_plan_free(plan);
}

/**
 * A plan has at most MAX_PLANNED_MACHINES machines. Tasks that fit on no machine type or exceed
 * this limit are returned as unplaced.
 */
static void scale_out_plan_is_bounded_and_returns_unplaced_tasks(void **state)
{
    struct leader *leader = wait_for_ready_leader(*state);
    struct job_spec spec = {.may_use_spot = true};
    struct capacity_request too_large = {&spec, {{64000}, {0}, {1000}, 1}, NULL, true};
    struct capacity_request request = {&spec, HALF_MACHINE, NULL, true};
    struct scale_out_plan *plan = new_plan_without_pending(leader);
    assert_int_equal(scale_out_plan_add_tasks(plan, &too_large, 7), 7);
    assert_int_equal(plan->machine_count, 0);
    assert_int_equal(scale_out_plan_add_tasks(plan, &request, 2 * MAX_PLANNED_MACHINES + 9), 9);
    assert_int_equal(plan->machine_count, MAX_PLANNED_MACHINES);
    scale_out_plan_free(plan);
}

/**
 * An offer in a zone that is avoided, because its machines were unreachable, is used only if there
 * is no other.
 */
static void offers_in_avoided_zones_are_used_only_as_a_last_resort(void **state)
{
    struct leader *leader = wait_for_ready_leader(*state);
    struct job_spec spec = {.may_use_spot = true};
    struct capacity_request anywhere = {&spec, HALF_MACHINE, NULL, true};
    struct capacity_request in_zone = {&spec, HALF_MACHINE, "a", true};
    struct machine_offer offer;
    leader->autoscaler.zone_avoid_until[0] = time_add_ms(loop_now(leader->loop), 1000);
    assert_true(machine_offer_find_cheapest(leader, &anywhere, 1, &offer));
    assert_string_equal(offer.zone, "b");
    assert_true(machine_offer_find_cheapest(leader, &in_zone, 1, &offer));
    assert_string_equal(offer.zone, "a");
}

/** A job that may use spot machines claims pending spot machines before on-demand machines. */
static void pending_capacity_claims_use_spot_machines_first(void **state)
{
    (void)state;
    struct job_spec spec = {.may_use_spot = true};
    struct capacity_request request = {&spec, HALF_MACHINE, "a", false};
    struct resources machine = {{8000}, {0}, {32000}, MAX_TASKS_PER_MACHINE};
    GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct pending_capacity));
    pending_capacity_add(pending, "g8", "a", false, machine);
    pending_capacity_add(pending, "g8", "b", true, machine);
    pending_capacity_add(pending, "g8", "a", true, machine);
    assert_int_equal(pending_capacity_claim(pending, &request, 3), 0);
    const struct pending_capacity *capacity = (const struct pending_capacity *)pending->data;
    assert_int_equal(capacity[0].available.cpus.milli, 4000);
    assert_int_equal(capacity[1].available.cpus.milli, 8000);
    assert_int_equal(capacity[2].available.cpus.milli, 0);
    /* Jobs that may not use spot machines claim none, and capacity in one zone does not count
     * for another. */
    spec.may_use_spot = false;
    request.zone = NULL;
    assert_int_equal(pending_capacity_claim(pending, &request, 3), 2);
    assert_int_equal(capacity[1].available.cpus.milli, 8000);
    g_array_unref(pending);
}

/** Adds an idle machine, waits for the leader, and returns the machine's entry in the ledger. */
static struct ledger_machine *add_idle_machine(struct world *world, struct leader **leader)
{
    world->cloud_capacity = 0;
    struct worker *worker = world_add_worker(world, 0, "a", true);
    *leader = wait_for_ready_leader(world);
    struct ledger_machine *machine = g_hash_table_lookup((*leader)->ledger.machines, worker->id);
    assert_non_null(machine);
    assert_true(machine->is_reported);
    return machine;
}

/** Returns the reason for which a machine is among the decisions, or -1. Frees the decisions. */
static int take_reason(GArray *decisions, const struct ledger_machine *machine)
{
    int reason = -1;
    for (guint i = 0; i < decisions->len; i++) {
        const struct scale_in_decision *decision =
            &g_array_index(decisions, struct scale_in_decision, i);
        if (machine_id_equal(decision->machine, machine->id))
            reason = (int)decision->reason;
    }
    g_array_unref(decisions);
    return reason;
}

/**
 * A quarantined machine without services, a machine that is being reclaimed and an unreachable
 * machine are found as unusable, each with its reason.
 */
static void unusable_machines_are_found_with_their_reason(void **state)
{
    struct leader *leader;
    struct ledger_machine *machine = add_idle_machine(*state, &leader);
    mono_time later = time_add_ms(loop_now(leader->loop), 1000);
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine), -1);
    machine->health.quarantined_until = later;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine),
                     SCALE_IN_REASON_QUARANTINED);
    /* Services that already run on the machine are not affected. */
    machine->usage.allocated.cpus.milli = 1000;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine), -1);
    machine->usage.allocated.cpus.milli = 0;
    machine->health.quarantined_until = (mono_time){0};
    machine->flags |= MACHINE_BEING_RECLAIMED;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine),
                     SCALE_IN_REASON_RECLAIMED);
    machine->flags |= MACHINE_UNREACHABLE;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine),
                     SCALE_IN_REASON_UNREACHABLE);
}

/**
 * An unreachable on-demand machine is usually only disconnected, so it is kept until its lease has
 * expired.
 */
static void unreachable_on_demand_machines_are_kept_until_their_lease_expires(void **state)
{
    struct leader *leader;
    struct ledger_machine *machine = add_idle_machine(*state, &leader);
    machine->is_spot = false;
    machine->flags |= MACHINE_UNREACHABLE;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine), -1);
    machine->flags |= MACHINE_LEASE_EXPIRED;
    assert_int_equal(take_reason(autoscaler_find_unusable(leader), machine),
                     SCALE_IN_REASON_UNREACHABLE);
}

/**
 * An idle machine is returned only once the decision is passed to autoscaler_request_scale_in().
 */
static void idle_machines_are_returned_only_when_requested(void **state)
{
    struct leader *leader;
    struct ledger_machine *machine = add_idle_machine(*state, &leader);
    assert_int_equal(take_reason(autoscaler_find_idle(leader), machine), -1);
    machine->idle_since = time_add_ms(machine->idle_since, -3600000);
    GArray *decisions = autoscaler_find_idle(leader);
    assert_false(cloud_provider_is_scaling_in(leader->cloud, machine->id.text));
    autoscaler_request_scale_in(leader->cloud, decisions);
    assert_true(cloud_provider_is_scaling_in(leader->cloud, machine->id.text));
    assert_int_equal(take_reason(decisions, machine), SCALE_IN_REASON_IDLE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        WORLD_TEST(scale_out_plan_has_no_effect_until_it_is_requested),
        WORLD_TEST(scale_out_plan_respects_zone_and_spot_constraints),
        WORLD_TEST(scale_out_plan_is_bounded_and_returns_unplaced_tasks),
        WORLD_TEST(offers_in_avoided_zones_are_used_only_as_a_last_resort),
        cmocka_unit_test(pending_capacity_claims_use_spot_machines_first),
        WORLD_TEST(unusable_machines_are_found_with_their_reason),
        WORLD_TEST(unreachable_on_demand_machines_are_kept_until_their_lease_expires),
        WORLD_TEST(idle_machines_are_returned_only_when_requested),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
