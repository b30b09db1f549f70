"""Case 1: a control machine is replaced for good while a machine that is no seed leads; later two
control machines lose their disks at once."""
import json
import os
import shutil
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from fleet import Fleet, Instance, Operator, Record, configuration, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def leader_of(fleet):
    """Returns the control instance that became leader last, by its log; only for the set-up."""
    last = ("", None)
    for c in fleet.controls:
        with open(os.path.join(c.folder, "log")) as log:
            for line in log:
                if '"control.role"' in line and '"role":"LEADER"' in line:
                    last = max(last, (json.loads(line)["ts"], c), key=lambda x: x[0])
    return last[1]


def lose_disk(instance):
    instance.kill()
    shutil.rmtree(instance.data)
    os.makedirs(instance.data)


def main():
    record = Record(HERE)
    fleet = Fleet(record)
    operator = Operator(fleet, record)
    try:
        fleet.start()
        if operator.order("/Config.Put", configuration(1, 0), 20, 4) != 200:
            return 2
        time.sleep(6)  # the group grows from its three founders to five members
        seeds, others = fleet.controls[:3], fleet.controls[3:]
        for _ in range(6):
            leader = leader_of(fleet)
            if leader in others:
                break
            record("%s leads; it is killed and restarted" % leader.name)
            leader.kill()
            time.sleep(2.5)
            leader.start()
            time.sleep(2)
        if leader not in others:
            return 2
        record("%s leads and is no seed" % leader.name)
        time.sleep(6)  # the core is stable, all machines are in touch
        if operator.order("/Config.Put", configuration(2, 0), 10, 2) != 200:
            return 2
        gone = others[0] if others[1] is leader else others[1]
        if TROUBLE:
            record("%s is removed for good; core-5 is added with an empty disk" % gone.name)
            gone.kill()
            time.sleep(1)
            added = Instance(fleet, "core-5", "control", "%s.16" % fleet.net, gone.zone)
            added.first = False
            fleet.controls[fleet.controls.index(gone)] = added
            added.start()
        time.sleep(10)  # catchUpS is 4 s
        if operator.order("/Config.Put", configuration(3, 0), 10, 2) != 200:
            return 2
        if leader_of(fleet) is not leader:
            record("another machine leads by now, so that the case can't be judged")
            return 2
        if TROUBLE:
            lost = [seeds[0], seeds[1]]
            record("%s and %s lose their disks; they are back after a second" %
                   tuple(c.name for c in lost))
            for c in lost:
                lose_disk(c)
            time.sleep(1)
            for c in lost:
                c.start()
        time.sleep(12)  # recoveryS
        held = operator.read(12)  # contactMs is 5 s
        record("read back: %s, newest acknowledged: 3" % (held and held["version"]))
        return 0 if held and held["version"] >= 3 else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(main)
