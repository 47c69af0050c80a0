#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""Generates a short test day for each kind of fault and for some pairs of faults.

Each day also includes a scale-out and a new version, so that the fault occurs
during other operations. Run this script in its folder; its output is committed.

@s0 and @s2 are placeholders for a site's first and third service: its engines,
and the origin of their weights.
"""

BASE = [
    '{ at = 3.0, kind = "scale_out", service = "@s0", share = 0.4, gap_s = 0.5 }',
    '{ at = 12.0, kind = "version_bump", count = 0 }',
]

KINDS = {
    "burst": ['{ at = 6.0, kind = "burst", x = 2.0, for_s = 5.0 }'],
    "hot-key": ['{ at = 4.0, kind = "hot_key", share = 0.4, for_s = 8.0 }'],
    "retry-abuse": ['{ at = 4.0, kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 8.0 }', '{ at = 5.0, kind = "burst", x = 1.8, for_s = 5.0 }'],
    "give-up": ['{ at = 4.0, kind = "give_up", share = 0.4, for_s = 6.0 }', '{ at = 12.0, kind = "give_up", share = 0.4, x = 1500.0, for_s = 6.0 }'],
    "srv-crash": ['{ at = 6.0, kind = "srv_crash", share = 0.3, for_s = 5.0 }', '{ at = 13.0, kind = "srv_crash", share = 0.3, for_s = 5.0, how = "dark" }'],
    "srv-gone": ['{ at = 6.0, kind = "srv_crash", share = 0.2, for_s = 5.0, how = "gone" }', '{ at = 12.5, kind = "srv_crash", share = 0.2, for_s = 5.0, how = "dark gone" }'],
    "srv-slow": ['{ at = 4.0, kind = "srv_slow", share = 0.3, x = 5.0, for_s = 12.0 }'],
    "srv-grey-errors": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 12.0, how = "errors" }'],
    "srv-grey-shed": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 12.0, how = "shed" }'],
    "srv-grey-hang": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 12.0, how = "hang" }'],
    "srv-grey-reset": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 12.0, how = "reset" }'],
    "srv-grey-mute": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 12.0, how = "mute" }'],
    "srv-grey-slow": ['{ at = 4.0, kind = "srv_grey", share = 0.3, x = 8.0, for_s = 12.0, how = "slow" }'],
    "release": ['{ at = 5.0, kind = "release", share = 0.6, x = 2.0, gap_s = 1.0 }'],
    "scale-in": ['{ at = 6.0, kind = "scale_in", share = 0.3 }', '{ at = 13.0, kind = "scale_in", share = 0.2, how = "spot" }'],
    "answer-lost": ['{ at = 4.0, kind = "answer_lost", share = 0.6, x = 0.2, for_s = 6.0 }', '{ at = 12.0, kind = "answer_lost", share = 0.6, x = 0.3, for_s = 6.0, how = "reset" }'],
    "garble": ['{ at = 4.0, kind = "garble", share = 0.5, x = 0.05, for_s = 4.0 }', '{ at = 9.0, kind = "garble", share = 0.5, x = 0.05, for_s = 4.0, how = "extra late" }', '{ at = 14.0, kind = "garble", share = 0.5, x = 0.05, for_s = 4.0, how = "unframed" }'],
    "garble-early": ['{ at = 4.0, kind = "garble", share = 0.6, x = 0.1, for_s = 10.0, how = "early" }'],
    "garble-rot": ['{ at = 12.5, kind = "garble", share = 0.6, x = 0.2, how = "rot" }', '{ at = 14.5, kind = "garble", share = 0.6, x = 0.2, how = "rot" }', '{ at = 15.5, kind = "garble", share = 0.6, x = 0.2, how = "rot" }'],
    "origin-down": ['{ at = 11.0, kind = "srv_crash", service = "@s2", how = "all", for_s = 6.0 }'],
    "origin-garble": ['{ at = 1.0, kind = "garble", service = "@s2", how = "all", count = 1, x = 0.2, for_s = 20.0 }'],
    "node-kill": ['{ at = 6.0, kind = "node_kill", share = 0.4 }', '{ at = 12.5, kind = "node_kill", share = 0.4, how = "power", for_s = 3.0 }'],
    "side-kill": ['{ at = 6.0, kind = "node_kill", on = "side", share = 0.4 }', '{ at = 12.5, kind = "node_kill", on = "side", share = 0.3 }'],
    "side-power": ['{ at = 6.0, kind = "node_kill", on = "side", share = 0.25, how = "power", for_s = 3.0 }', '{ at = 13.0, kind = "node_kill", on = "side", share = 0.25, how = "power", for_s = 3.0 }'],
    "node-freeze": ['{ at = 5.0, kind = "node_freeze", share = 0.3, for_s = 3.0 }', '{ at = 13.0, kind = "node_freeze", share = 0.3, for_s = 3.0 }'],
    "side-freeze": ['{ at = 5.0, kind = "node_freeze", on = "side", share = 0.2, for_s = 3.0 }', '{ at = 12.2, kind = "node_freeze", on = "side", share = 0.2, for_s = 5.0 }'],
    "giver-freeze": ['{ at = 12.5, kind = "node_freeze", count = 1, how = "giver", for_s = 6.5 }', '{ at = 15.5, kind = "node_freeze", count = 1, how = "giver", for_s = 6.5 }'],
    "node-slow": ['{ at = 4.0, kind = "node_slow", share = 0.4, x = 5.0, for_s = 12.0 }'],
    "side-slow": ['{ at = 4.0, kind = "node_slow", on = "side", share = 0.4, x = 5.0, for_s = 14.0 }'],
    "roll-term": ['{ at = 4.0, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0 }'],
    "roll-term-busy": ['{ at = 4.0, kind = "roll_term", share = 1.0, x = 2.0, gap_s = 3.0, how = "busy" }'],
    "side-term": ['{ at = 4.0, kind = "roll_term", on = "side", share = 1.0, x = 3.0, gap_s = 1.0 }'],
    "herd-kill": ['{ at = 13.0, kind = "herd_kill", share = 1.0, for_s = 2.0, on = "core" }'],
    "herd-power": ['{ at = 13.0, kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power" }'],
    "add-nodes": ['{ at = 5.0, kind = "add_nodes", share = 1.0 }'],
    "after-ack-kill": ['{ at = 6.0, kind = "after_ack_kill", for_s = 3.0, how = "kill" }', '{ at = 14.0, kind = "after_ack_kill", for_s = 3.0 }'],
    "hup": ['{ at = 4.0, kind = "hup", share = 1.0, gap_s = 3.0 }'],
    "reset-conns": ['{ at = 4.0, kind = "reset_conns", share = 0.6, x = 0.8 }', '{ at = 8.0, kind = "reset_conns", share = 0.6, x = 0.8 }', '{ at = 14.0, kind = "reset_conns", on = "side", share = 0.6, x = 0.8 }'],
    "core-cut": ['{ at = 6.0, kind = "core_cut", count = 2, for_s = 5.0, how = "leader" }', '{ at = 12.5, kind = "core_cut", count = 2, for_s = 5.0, how = "giver race" }'],
    "node-cut": ['{ at = 5.0, kind = "node_cut", share = 0.4, for_s = 5.0, how = "meet" }', '{ at = 13.0, kind = "node_cut", share = 0.4, for_s = 5.0, how = "reset revoke" }'],
    "node-cut-all": ['{ at = 6.0, kind = "node_cut", share = 0.3, for_s = 4.0, how = "all" }', '{ at = 13.0, kind = "node_cut", on = "side", share = 0.2, for_s = 4.0, how = "all" }'],
    "link-squeeze": ['{ at = 2.5, kind = "link_squeeze", on = "side", share = 0.3, x = 0.95, for_s = 7.0 }', '{ at = 12.2, kind = "link_squeeze", on = "side", share = 0.3, x = 0.95, for_s = 9.0 }'],
    "front-squeeze": ['{ at = 4.0, kind = "link_squeeze", share = 0.3, x = 2.0, for_s = 10.0 }', '{ at = 4.0, kind = "link_squeeze", how = "regions", x = 5.0, for_s = 10.0 }'],
    "lossy": ['{ at = 4.0, kind = "lossy", x = 0.04, for_s = 14.0 }'],
    "store-silent": ['{ at = 5.0, kind = "platform_down", how = "silent", for_s = 6.0 }'],
    "store-busy": ['{ at = 5.0, kind = "platform_down", how = "busy", for_s = 6.0 }', '{ at = 12.2, kind = "platform_down", how = "reset lapse", for_s = 5.0 }'],
    "store-nodes": ['{ at = 3.0, kind = "platform_down", how = "nodes revoke meet", share = 0.4, for_s = 6.0 }', '{ at = 12.2, kind = "platform_down", how = "nodes busy leader revoke", share = 0.4, for_s = 6.0 }'],
    "store-slow": ['{ at = 4.0, kind = "platform_slow", x = 60.0, for_s = 12.0 }'],
    "store-lost": ['{ at = 4.0, kind = "platform_lost", x = 0.5, for_s = 6.0 }', '{ at = 11.0, kind = "platform_lost", x = 0.5, for_s = 6.0, how = "late" }'],
    "store-compact": ['{ at = 4.0, kind = "platform_compact", x = 4.0, for_s = 3.0, how = "drain keyed" }', '{ at = 12.5, kind = "platform_compact", x = 4.0, for_s = 3.0, how = "keyed rebalance rewind" }'],
    "config-change": ['{ at = 4.0, kind = "config_change", how = "route" }', '{ at = 7.0, kind = "config_change", how = "weights" }', '{ at = 10.0, kind = "config_change", how = "timeout" }', '{ at = 13.0, kind = "config_change", how = "tenant" }', '{ at = 16.0, kind = "config_change", how = "quota down" }'],
    "config-storm": ['{ at = 4.0, kind = "config_storm", for_s = 6.0, gap_s = 0.1 }', '{ at = 12.5, kind = "config_storm", for_s = 4.0, gap_s = 0.2 }'],
    "revoke": ['{ at = 4.0, kind = "revoke", count = 3, gap_s = 0.5 }', '{ at = 12.0, kind = "revoke", count = 3, gap_s = 0.5, how = "last" }'],
    "versions": ['{ at = 9.0, kind = "version_bump", count = 0 }', '{ at = 14.0, kind = "version_bump", count = 0 }', '{ at = 17.0, kind = "version_bump", count = 0 }'],
    "srv-cut": ['{ at = 5.0, kind = "srv_cut", share = 0.3, for_s = 4.0 }', '{ at = 12.5, kind = "srv_cut", share = 0.3, for_s = 4.0, how = "fronts" }'],
    "srv-cut-some": ['{ at = 5.0, kind = "srv_cut", share = 0.3, x = 0.4, for_s = 6.0, how = "some" }', '{ at = 12.5, kind = "srv_cut", share = 0.3, x = 0.4, for_s = 5.0, how = "one_way" }'],
    "reuse": ['{ at = 6.0, kind = "replace_with_reuse", share = 0.3 }', '{ at = 13.0, kind = "replace_with_reuse", share = 0.2, how = "drain" }'],
    "reuse-dark": ['{ at = 6.0, kind = "replace_with_reuse", share = 0.3, how = "dark" }'],
    "clock-step": ['{ at = 5.0, kind = "clock_step", share = 0.6, x = 3000.0, for_s = 5.0, how = "back" }', '{ at = 12.5, kind = "clock_step", share = 0.6, x = 3000.0, for_s = 5.0, how = "ahead" }'],
    # Pairs of faults.
    "pair-store-versions": ['{ at = 11.5, kind = "platform_down", how = "silent", for_s = 6.0 }', '{ at = 10.0, kind = "version_bump", count = 0 }', '{ at = 13.0, kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.0 }'],
    "pair-cut-storm": ['{ at = 6.0, kind = "config_storm", for_s = 6.0, gap_s = 0.2 }', '{ at = 7.0, kind = "core_cut", count = 2, for_s = 4.0, how = "leader race" }'],
    "pair-revoke-turned-away": ['{ at = 5.0, kind = "platform_down", how = "nodes silent revoke", share = 0.5, for_s = 6.0 }', '{ at = 6.0, kind = "revoke", count = 3, gap_s = 0.4 }', '{ at = 6.5, kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.0 }'],
    "pair-rollout-lossy": ['{ at = 11.8, kind = "lossy", x = 0.04, for_s = 9.0 }', '{ at = 12.5, kind = "srv_crash", service = "@s2", how = "all", for_s = 3.0 }'],
    "pair-abuse-grey": ['{ at = 4.0, kind = "srv_grey", share = 0.33, x = 0.5, for_s = 12.0, how = "errors" }', '{ at = 5.0, kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 8.0 }'],
    "pair-power-all": ['{ at = 9.0, kind = "herd_kill", share = 1.0, for_s = 1.5, how = "power taken all", on = "core" }'],
}

# Days with fixed seeds, because the seed decides which partitions of the store fail. store-partly: outages of half of the store's
# partitions, with changes to receive shortly afterwards. crash-storm: endpoint crashes in quick succession during many identical
# requests, which must not be quarantined as the cause. changes-late-power: writes of the operator are carried out late, also after
# newer ones, and all processes start again afterwards.
PARTIAL_OUTAGE = '{ at = 7.0, kind = "platform_down", how = "silent log", share = 0.5, for_s = 5.65 }'
FIXED = {
    "store-partly": (1, [PARTIAL_OUTAGE, '{ at = 12.7, kind = "config_change", how = "route" }', '{ at = 13.0, kind = "config_change", how = "route" }']),
    "store-partly-2": (2, [PARTIAL_OUTAGE, '{ at = 12.7, kind = "config_change", how = "route" }', '{ at = 13.0, kind = "config_change", how = "route" }']),
    "crash-storm": (90, ['{ at = 4.0, kind = "hot_key", share = 0.5, for_s = 16.0 }'] + [
        f'{{ at = {at}, kind = "srv_crash", service = "@s0", share = 0.4, for_s = 1.5 }}' for at in (5.0, 6.5, 8.0, 9.5, 11.0, 14.0)]),
    "evacuate": (91, ['{ at = 4.0, kind = "evacuate", zone = "@z0", for_s = 6.0 }', '{ at = 12.5, kind = "evacuate", zone = "@z0", for_s = 5.0, how = "warm" }']),
    "cold-return": (92, ['{ at = 5.0, kind = "cold_return", zone = "@z0", for_s = 3.0 }', '{ at = 13.0, kind = "cold_return", zone = "@z0", for_s = 2.0, how = "dark" }']),
    "pair-evacuate-store-lost": (93, ['{ at = 5.0, kind = "platform_down", how = "nodes silent", share = 0.4, for_s = 6.0 }', '{ at = 6.0, kind = "evacuate", zone = "@z0", for_s = 8.0 }']),
    "changes-late-power": (94, ['{ at = 11.0, kind = "platform_lost", x = 0.8, how = "late", for_s = 7.0 }', '{ at = 12.5, kind = "config_change", how = "route" }', '{ at = 13.5, kind = "revoke", count = 2, gap_s = 0.5 }', '{ at = 14.0, kind = "version_bump", count = 0 }']),
    "store-partly-drain": (3, [PARTIAL_OUTAGE, '{ at = 12.7, kind = "scale_in", share = 0.3 }', '{ at = 13.0, kind = "version_bump", count = 0 }']),
}

CLOSINGS = {"pair-cut-storm": 'closing = { kind = "power_off_all", down_s = 1.5 }\n', "versions": 'closing = { kind = "kill_all", down_s = 1.2 }\n', "changes-late-power": 'closing = { kind = "power_off_all", down_s = 1.0, how = "all" }\n', "garble-rot": 'closing = { kind = "power_off_all", down_s = 1.5, how = "timed" }\n'}

if __name__ == "__main__":
    days = [(name, 1000 + n, faults) for n, (name, faults) in enumerate(sorted(KINDS.items()))]
    days += [(name, seed, faults) for name, (seed, faults) in FIXED.items()]
    for name, seed, faults in days:
        rows = ",\n  ".join(faults)
        with open(f"{name}.toml", "w") as out:
            out.write(f'name = "{name}"\nslot = "trouble"\nseed = {seed}\n{CLOSINGS.get(name, "")}')
            out.write("plan = [\n  " + ",\n  ".join(BASE) + ",\n]\n")
            out.write("faults = [\n  " + rows + ",\n]\n")
