"""Case 2: a control group has taken changes of a large configuration; then all of it restarts."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from fleet import Fleet, Operator, Record, configuration, run_case  # noqa: E402

ROUTES = 1400  # big_config: the largest count in the site files
STORMS = int(os.environ.get("STORMS", "10"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def main():
    record = Record(HERE)
    fleet = Fleet(record)
    operator = Operator(fleet, record)
    try:
        fleet.start()
        if operator.order("/Config.Put", configuration(1, ROUTES), 20, 4) != 200:
            return 2
        acked, changes = operator.storms(STORMS, ROUTES, 1)
        if changes < 8 * STORMS:
            return 2
        if TROUBLE:
            record("all processes of the core are killed; they are back after a second")
            for c in fleet.controls:
                c.kill()
            time.sleep(1)
            for c in fleet.controls:
                c.start()
        time.sleep(12)  # recoveryS
        held = operator.read(12)  # contactMs is 5 s
        record("read back: %s, newest acknowledged: %d; ends of control processes by themselves: %d"
               % (held and held["version"], acked, sum(c.own_ends for c in fleet.controls)))
        return 0 if held and held["version"] >= acked else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(main)
