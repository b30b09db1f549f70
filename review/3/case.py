"""Case 3: after changes of a large configuration, two of five control machines lose their disks."""
import os
import shutil
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from fleet import Fleet, Operator, Record, configuration, run_case  # noqa: E402

ROUTES = 1400  # big_config: the largest count in the site files
STORMS = int(os.environ.get("STORMS", "7"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


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
        if operator.order("/Config.Put", configuration(1, ROUTES), 20, 4) != 200:
            return 2
        time.sleep(8)  # the group grows from its three founders to five members
        acked, changes = operator.storms(STORMS, ROUTES, 1)
        if changes < 8 * STORMS:
            return 2
        time.sleep(6)
        if TROUBLE:
            record("core-3 and core-4 lose their disks; they are back after a second")
            lose_disk(fleet.controls[3])
            lose_disk(fleet.controls[4])
            time.sleep(1)
            fleet.controls[3].start()
            fleet.controls[4].start()
        time.sleep(12)  # recoveryS; catchUpS is 4 s
        held = operator.read(12)
        record("read back: %s, newest acknowledged: %d" % (held and held["version"], acked))
        status = operator.order("/Config.Put", configuration(acked + 1, ROUTES), 12, 4)
        record("a further change was answered %d" % status)
        return 0 if held and held["version"] >= acked else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(main)
