"""A worker's report that it has left, which a frozen daemon passes on after the worker has started again."""

import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from lab import TROUBLE, Lab, Worker, asyncio, call, record, run_case

WORKERS = 8
FROZEN_S = 3.5
# Share of the orders that get no answer and are carried out later, and for how long.
LATE_SHARE = 0.055
LATE_FOR_S = 5.5
LATE_S = 2.0
SEED = int(os.environ.get("SEED", "1"))


class LateWorker(Worker):
    """Leaves a share of the orders unanswered, and carries them out later."""

    random = random.Random(SEED)
    late_until = 0.0

    async def answer(self, path, headers, message):
        if time.monotonic() < self.late_until and self.random.random() < LATE_SHARE:
            record(f"worker {self.name}: leaves a call of {path} unanswered")
            asyncio.ensure_future(self.carry_out_late(path, headers, message))
            await asyncio.sleep(60)
        return await super().answer(path, headers, message)

    async def carry_out_late(self, path, headers, message):
        await asyncio.sleep(LATE_S)
        await Worker.answer(self, path, headers, message)


async def main():
    lab = Lab(cores=5, fronts=3)
    await lab.begin(workers=WORKERS, worker_class=LateWorker, duration=lambda task, spec: 40.0)
    leader = await lab.leader()
    daemon = next(core for core in lab.cores if core is not leader)
    worker = lab.workers[0]
    # A planned end: the worker reports that it drains, serves on, reports that it has left, and ends.
    worker.state = "draining"
    if not await worker.send_heartbeat():
        record("the draining worker got no acknowledgement")
    record(f"worker {worker.name} drains")
    await asyncio.sleep(2.1)
    if TROUBLE:
        daemon.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FROZEN_S, daemon.signal, signal.SIGCONT)
        await asyncio.sleep(0.1)
    record(f"worker {worker.name} sends DELETE to {daemon.name}, and ends")
    asyncio.ensure_future(call(daemon.address, "DELETE", f"/instances/{worker.name}", timeout=10.0))
    await asyncio.sleep(0.3)
    worker.crash()
    # It starts again under its id. Its second heartbeat is sent shortly before the daemon wakes.
    await asyncio.sleep(1.5)
    worker.state = "ready"
    await worker.restart()
    await asyncio.sleep(0.5)
    spec = {"spec": "restore", "steps": [
        {"count": WORKERS, "cpu": 500, "memMb": 256, "estimatedMs": 40000, "antiAffinity": 1}]}
    await lab.submit("5c0e7a21d94b36f8", spec, "bulk")
    await lab.until(lambda: worker.running, 5.0, "no run on the worker after its restart")
    # A new worker, so that there is room for another run.
    spare = LateWorker(lab, "i-000000ff", 50, duration=lambda task, spec: 40.0)
    lab.workers.append(spare)
    await spare.begin()
    if TROUBLE:
        LateWorker.late_until = time.monotonic() + LATE_FOR_S
    broken = []
    end = time.monotonic() + 14.0
    while time.monotonic() < end:
        for task in set(task for each in lab.workers for task in each.running):
            runs = [(each.name, each.running[task].number) for each in lab.workers if task in each.running]
            if len(runs) > 1 and not broken:
                broken.append(f"TWICE two runs of {task} at the same time, on workers that are up: {runs}")
                record(broken[0])
        await asyncio.sleep(0.01)
    return broken


run_case(main)
