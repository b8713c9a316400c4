"""A few jobs of legal length with very many short steps, beside ordinary jobs."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))

from lab import TROUBLE, Lab, asyncio, json, record, run_case

LARGE_JOBS = 10
STEPS = 5_000
MAX_BODY_BYTES = 262_144
ORDINARY = {"spec": "quote", "steps": [{"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 300}]}


async def main():
    lab = Lab(cores=5, fronts=3)
    await lab.begin(workers=6)
    accepted = []
    for number in range(10):
        job = f"5c0e7a21d94b{number:04x}"
        if await lab.submit(job, ORDINARY) == 200:
            accepted.append(job)
        await asyncio.sleep(0.2)
    if TROUBLE:
        body = json.dumps({"spec": "restore", "steps": [{"count": 1}] * STEPS}, separators=(",", ":")).encode()
        assert len(body) <= MAX_BODY_BYTES
        await asyncio.gather(*(
            lab.submit(f"00000000000000{number:02x}", body, "bulk", tries=5, pause_s=1.0)
            for number in range(LARGE_JOBS)))
    unanswered = await lab.ask_at_end(accepted)
    record(f"{len(accepted)} ordinary jobs were accepted, {len(unanswered)} get no answer at the end")
    for daemon in lab.cores + lab.fronts:
        leaderships = len(daemon.logged("leadership started"))
        record(f"{daemon.name}: runs {daemon.is_running()}, began to lead {leaderships} times")
    return [f"LOST an accepted job gets no answer: {answer}" for answer in unanswered]


run_case(main)
