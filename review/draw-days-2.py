#!/usr/bin/env python3
"""Draws the random days of the second review: draw-days-2.py MIX SEED writes the day to standard output.

Mixes: small (kfpo-husk, also menig-lb), grown (both grown sites), final (faults around a final fault, kfpo-husk) and
bursts (menig-lb-grown). The same mix and seed give the same day; the bench played it with this seed.
"""
import json
import random
import sys


def r(least, most):
    return round(random.uniform(least, most), 2)


PLAN = {
    "release": lambda: dict(share=r(.3, .51), x=1.0, gap_s=r(.83, 1.1)),
    "scale_in": lambda: dict(share=r(.13, .155)),
    "roll_term": lambda: dict(share=r(.3, 1), x=1.0, gap_s=r(1.1, 2), **({"how": "busy"} if random.random() < .5 else {})),
    "add_nodes": lambda: dict(share=r(.56, 1)),
    "big_config": lambda: dict(count=random.randint(260, 467)),
    "config_change": lambda: dict(how=random.choice(["idle", "route", "timeout"])),
    "config_storm": lambda: dict(for_s=4.0, gap_s=.33),
    "hup": lambda: dict(share=r(.6, .767), gap_s=r(2, 2.5)),
}
FAULT = {
    "replace_with_reuse": lambda: dict(share=r(.14, .25), how=random.choice(["", "dark", "drain"])),
    "srv_crash": lambda: dict(share=r(.14, .18), for_s=r(2, 4.5), how=random.choice(["", "dark", "gone", "dark gone"])),
    "node_kill": lambda: dict(share=.16, for_s=r(1, 3.5), how=random.choice(["", "power", "seed", "reader", "leader", "meet drain", "leader race drain"])),
    "node_freeze": lambda: dict(share=.11, for_s=r(1, 3.5), how=random.choice(["", "seed", "reader", "follower", "leader", "meet drain"])),
    "node_slow": lambda: dict(share=.15, x=5.5, for_s=r(2, 5.5), how=random.choice(["", "seed", "reader", "leader"])),
    "herd_kill": lambda: dict(share=.55, for_s=2.0, how=random.choice(["", "power"])),
    "after_ack_kill": lambda: dict(for_s=3.0, how=random.choice(["kill", "", "timed"])),
    "clock_step": lambda: dict(share=r(.28, .374), x=r(890, 2400), for_s=r(2, 7.1), how=random.choice(["ahead", "back"])),
    "zone_cut": lambda: dict(for_s=r(2, 6.4), how=random.choice(["drop", "reset", "drop meet", "refuse", "drop meet drain", "reset meet"])),
    "core_cut": lambda: dict(count=1, for_s=r(2, 5.5), how=random.choice(["leader", "leader race", "reader", "seed", "one_way", "near", "all", "seeds", "both", "lure", "relieve", "behind", "split", "meet drain", "reset meet drain", "seed meet drain"])),
    "node_cut": lambda: dict(share=r(.17, .35), for_s=r(2, 12), how=random.choice(["meet", "", "all", "servers", "servers reborn", "reset", "meet drain"])),
    "platform_down": lambda: dict(for_s=r(1, 4.5), how=random.choice(["silent", "busy", "reset", "reset lapse", "silent lapse", "busy lapse"])) if random.random() < .5 else dict(for_s=r(2, 9), share=r(.2, .35), how="nodes " + random.choice(["busy", "many", "reset", ""]) + random.choice([" revoke meet", " meet", " revoke", "", " leader meet"])),
    "platform_slow": lambda: dict(x=r(10, 60), for_s=r(1, 4.5)),
    "platform_lost": lambda: dict(x=r(.2, .49), for_s=r(1, 4.8), how=random.choice(["", "late"])),
    "platform_compact": lambda: dict(x=r(1, 6), for_s=r(2, 13), how=random.choice(["", "drain"])),
    "reset_conns": lambda: dict(share=.1, x=.5),
}
GROWN_PLAN = dict(PLAN)
GROWN_PLAN["release"] = lambda: dict(share=r(.3, .51), x=float(random.randint(5, 7)), gap_s=r(.87, 1.1))
GROWN_PLAN["roll_term"] = lambda: dict(share=r(.3, 1), x=4.0, gap_s=r(1, 2), **({"how": "busy"} if random.random() < .5 else {}))
GROWN_PLAN["big_config"] = lambda: dict(count=random.randint(1000, 1400))
GROWN_PLAN["config_storm"] = lambda: dict(for_s=r(1.5, 4), gap_s=random.choice([.08, .33]), **({"how": "idle"} if random.random() < .3 else {}))
GROWN_FAULT = dict(FAULT)
GROWN_FAULT["srv_flap"] = lambda: dict(share=r(.1, .12), gap_s=r(1.1, 1.4), for_s=r(5, 6.5))
GROWN_FAULT["srv_grey"] = lambda: dict(share=r(.14, .16), for_s=6.5, how=random.choice(["errors", "hang", "shed"]), x=.43) if random.random() < .7 else dict(share=.14, for_s=6.5, how="slow", x=6.0)
GROWN_FAULT["srv_lying_health"] = lambda: dict(share=r(.08, .1), for_s=r(5, 6.5), how=random.choice(["bad", "errors", "hang", "reset"]))
GROWN_FAULT["lossy"] = lambda: dict(x=.025, for_s=5.5)
GROWN_FAULT["burst"] = lambda: dict(x=1.7, for_s=3.2)
GROWN_FAULT["shift"] = lambda: dict(share=.5, for_s=6.5)
GROWN_FAULT["scale_out"] = lambda: dict(share=.25, gap_s=2.0)
GROWN_FAULT["node_kill"] = lambda: dict(share=.08, for_s=r(1, 3.5), how=random.choice(["", "power", "meet drain"]))


def entry(at, kind, make):
    fields = dict(at=at, kind=kind)
    fields.update(make())
    return "{ " + ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields.items()) + " }"


def text(name, length, plan, faults, closing):
    day = f'name = "{name}"\nlength_s = {length}\nplan = [\n' + ",\n".join(plan)
    return day + "\n]\nfaults = [\n" + ",\n".join(faults) + "\n]\n" + closing


def small(seed):
    random.seed(seed)
    length = r(30, 60)
    mode = random.random()
    sizes = (random.randint(3, 12), 0) if mode < .25 else (random.randint(2, 8), random.randint(1, 6)) if mode < .8 else (random.randint(0, 3), random.randint(4, 14))
    draw = lambda kinds, count: [entry(r(.5, length - 6), kind, kinds[kind]) for kind in random.choices(list(kinds), k=count)]
    plan = draw(PLAN, sizes[0])
    faults = draw(FAULT, sizes[1])
    if mode > .9:
        faults += [entry(r(.5, length - 6), "node_freeze", FAULT["node_freeze"]) for _ in range(4)]
    closing = ""
    if random.random() < .5:
        closing = 'closing = { kind = "%s", down_s = %s }\n' % (random.choice(["power_off_all", "kill_all", "wipe_after_ack"]), r(.5, 1.3))
    return text(f"rnd-{seed}", length, plan, faults, closing)


def grown(seed):
    random.seed(seed)
    length = r(30, 50)
    mode = random.random()
    sizes = (random.randint(3, 10), 0) if mode < .2 else (random.randint(2, 6), random.randint(1, 6)) if mode < .8 else (random.randint(0, 3), random.randint(4, 12))
    draw = lambda kinds, count: [entry(r(.5, length - 6), kind, kinds[kind]) for kind in random.choices(list(kinds), k=count)]
    plan = draw(GROWN_PLAN, sizes[0])
    faults = draw(GROWN_FAULT, sizes[1])
    closing = ""
    if random.random() < .5:
        closing = 'closing = { kind = "%s", down_s = %s }\n' % (random.choice(["power_off_all", "kill_all"]), r(.5, 1.3))
    return text(f"rnd-{seed}", length, plan, faults, closing)


def final(seed):
    random.seed(seed)
    length = r(24, 30)
    draw = lambda kinds, names: [entry(r(length - 9, length + 6), kind, kinds[kind]) for kind in names]
    plan = draw(PLAN, random.choices(list(PLAN), k=random.randint(0, 4)))
    kinds = ["platform_down", "platform_down", "platform_slow", "platform_compact", "platform_lost", "zone_cut", "core_cut", "node_cut", "node_kill", "herd_kill", "clock_step", "node_freeze", "node_slow", "srv_crash", "replace_with_reuse", "reset_conns"]
    faults = draw(FAULT, random.choices(kinds, k=random.randint(1, 7)))
    closing = 'closing = { kind = "%s", down_s = %s%s }\n' % (random.choice(["power_off_all", "kill_all", "power_off_all", "wipe_after_ack"]), r(.5, 1.3), random.choice(["", ', how = "timed"', ', how = "taken"', ', how = "all"']))
    return text(f"rnd-{seed}", length, plan, faults, closing)


def bursts(seed):
    random.seed(seed)
    faults = []
    at = 4.0
    while at < 26 and len(faults) < 34:
        count = random.randint(2, 5)
        zone = random.choice([None, None, "caerdydd-a", "abertawe-b", "casnewydd-c", "merthyr-d", "pontypridd-e"])
        for _ in range(count):
            where = f', zone = "{zone}"' if zone else ""
            faults.append(f'{{ at = {at + r(0, .1):.2f}, kind = "burst", x = 1.7, for_s = {r(.3, 3.2)}{where} }}')
        at += r(1.5, 5)
    plan = []
    if random.random() < .5:
        plan.append('{ at = %s, kind = "roll_term", share = 0.4, x = 4.0, gap_s = 1.2 }' % r(4, 20))
    if random.random() < .5:
        plan.append('{ at = %s, kind = "release", share = 0.4, x = 6.0, gap_s = 1.0 }' % r(4, 20))
    return text(f"bursts-{seed}", 30, plan, faults, "")


MIXES = {"small": small, "grown": grown, "final": final, "bursts": bursts}

if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] not in MIXES:
        sys.exit("usage: draw-days-2.py small|grown|final|bursts SEED")
    print(MIXES[sys.argv[1]](int(sys.argv[2])), end="")
