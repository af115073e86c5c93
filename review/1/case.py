"""A conversation that lasts longer than its turns' retention.

The client takes a turn every four seconds, by one gateway, each going on from
the turn before it. Then that gateway is killed and the next turn comes by
another one.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402

GATEWAYS = 7
RETENTION_S = 20
TURN_EVERY_S = 4
KILL_AFTER_S = 88
TURNS_AFTER = 3


class Conversation:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.count = 0
        self.previous = ""
        self.previous_ended = 0.0
        self.chain = b""
        self.broken = []

    async def take_turn(self, gateway):
        """One turn with up to five tries, all of which come in time."""
        for number in range(1, 6):
            if await self.try_turn(gateway, number):
                return
            await asyncio.sleep(0.3)
        self.broken.append(f"LOST: turn {self.count} got no whole answer in five tries")

    async def try_turn(self, gateway, number):
        attempt = f"turn-{self.count:02d}-try-{number}"
        text = f"input of turn {self.count};".encode()
        headers = {
            "Host": "review.example",
            "Trayrock-Attempt-Id": attempt,
            "Trayrock-Program-Id": "program-1",
            "Trayrock-Session-Id": "session-1",
            "Trayrock-Program-Deadline-Ms": "300000",
            "Trayrock-Deadline-Ms": "5000",
            "Trayrock-Token-Budget": "100000",
            "Trayrock-Token-Usage": "100,10",
            "Trayrock-Prefix-Hash": "5c1e07a2:100",
        }
        if self.previous:
            headers["Trayrock-Previous-Turn"] = self.previous
        age = time.monotonic() - self.previous_ended if self.previous else 0
        self.record.write(
            "send", attempt=attempt, by=gateway.name, previous=self.previous or "none",
            previous_age_s=f"{age:.2f}",
        )
        answer = await standins.ask_once(
            gateway.frontend, "POST", "/stream/chat", headers, text
        )
        self.record.write(
            "answer", attempt=attempt, status=answer.status,
            complete=int(answer.complete), body=answer.body[:90],
        )
        if answer.status in (404, 410) and age < RETENTION_S:
            self.broken.append(
                f"LOST: turn {self.count} got {answer.status}; its previous turn "
                f"got a whole answer {age:.1f} s before (retentionS {RETENTION_S})"
            )
            return True
        if answer.status != 200 or not answer.complete:
            return False
        self.accept(attempt, text)
        return True

    def accept(self, attempt, text):
        runs = [each for each in self.deployment.runs if each.attempt == attempt]
        if len(runs) != 1:
            self.broken.append(f"TWICE: {attempt} ran {len(runs)} times")
            return
        if runs[0].body != self.chain + text:
            self.broken.append(f"UNASKED: {attempt} ran with another body")
        output = "".join(each + "\n" for each in runs[0].events).encode()
        self.chain += text + output
        self.previous = attempt
        self.previous_ended = time.monotonic()


async def case(deployment, record, trouble):
    await deployment.add_runner("runner-1", "assistant")
    await deployment.add_runner("runner-2", "assistant")
    engine = {"capacity": 64, "kvCapacity": 200000, "chunkTokens": 1}
    deployment.configure(
        1,
        [
            standins.route(
                "/stream/", "assistant", "streaming",
                retained=True, retentionS=RETENTION_S, gapTargetMs=400,
            )
        ],
        [{"name": "assistant", "maxConns": 370, "engine": engine}],
    )
    for number in (1, 2, 3):
        deployment.add_machine(f"store-{number}", "records", f"zone-{number}").start(True)
    gateways = [
        deployment.add_machine(f"gateway-{number}", "gateway", f"zone-{number % 3 + 1}")
        for number in range(1, GATEWAYS + 1)
    ]
    for each in gateways:
        each.start(True)
    for each in gateways:
        await deployment.wait_ready(each)

    talk = Conversation(deployment, record)
    began = time.monotonic()
    while time.monotonic() - began < KILL_AFTER_S and not talk.broken:
        talk.count += 1
        due = began + talk.count * TURN_EVERY_S
        await talk.take_turn(gateways[0])
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    if trouble:
        await gateways[0].kill()
    for _ in range(TURNS_AFTER):
        if talk.broken:
            break
        talk.count += 1
        await talk.take_turn(gateways[1] if trouble else gateways[0])
        await asyncio.sleep(1)
    return talk.broken


sys.exit(standins.play(case, FOLDER))
