"""The entry process, which callers reach through the platform's balancer."""

from __future__ import annotations

import asyncio
import logging

import mode
import msgspec
from aiohttp import web

from lovagestage.api.authentication import Authenticator
from lovagestage.api.caller_api import CallerApi
from lovagestage.api.chat_admission import ChatAdmission
from lovagestage.api.chat_answers import ChatAnswers
from lovagestage.api.chat_api import ChatApi
from lovagestage.api.plain_api import PlainApi
from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.bus.upstreams import UpstreamTable
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.sessions import SessionSigner
from lovagestage.entry.answer_tracking import AnswerTracker
from lovagestage.entry.billing_service import BillingService
from lovagestage.entry.deferral_service import DeferralService
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.entry.escalation import Escalation
from lovagestage.entry.key_service import KeyService
from lovagestage.entry.keyed_refusals import KeyedRefusalCorrector
from lovagestage.entry.keyed_runs import KeyedRuns
from lovagestage.entry.limit_service import LimitService
from lovagestage.messages.envelope import (
    DumpAnswer,
    DumpRequest,
    Hello,
    Message,
)
from lovagestage.settings import EntrySettings, Settings
from lovagestage.telemetry.measurement import RequestMeter
from lovagestage.telemetry.metrics import Metrics
from lovagestage.types import VmId

_log = logging.getLogger(__name__)

BALANCER_NOTICE_S = 1.5
"""Time in seconds that the balancer gets to see that the entry is leaving,
before the entry waits for its open requests."""


class Entry(mode.Service):
    """Main service of an entry process, which serves callers.

    Args:
        settings: Settings of the process.
        role_settings: Settings of the role `entry`.
        control: Reader of the configuration in force.
        upstreams: Connections to sidecars.
        peers: Connections to the other entries.
        dispatcher: Runs requests.
        hub: Dispatches messages from the process's listener.
        billing: Receives the bills.
        keys: Claims of idempotency keys.
        trials: Roll-outs and cascade plans.
        limits: Charges the token limits of workspaces.
        deferrals: Delays deferrable requests until they have a slot.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        settings: Settings,
        role_settings: EntrySettings,
        control: ControlReader,
        upstreams: UpstreamTable,
        peers: LinkTable,
        dispatcher: Dispatcher,
        hub: Hub,
        billing: BillingService,
        keys: KeyService,
        trials: AnswerTracker,
        limits: LimitService,
        deferrals: DeferralService,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._trials = trials
        self._settings = settings
        self._role_settings = role_settings
        self._control = control
        self._upstreams = upstreams
        self._peers = peers
        self._dispatcher = dispatcher
        self._hub = hub
        self._billing = billing
        self._keys = keys
        self._limits = limits
        self._deferrals = deferrals
        self._metrics = metrics
        self._api = self._make_api()
        self._runner = web.AppRunner(
            self._api.make_app(), access_log=None, handler_cancellation=True
        )
        self._site: web.TCPSite | None = None
        hub.register(Hello, self._on_hello)
        hub.register(DumpRequest, self._on_dump_request)

    def _make_api(self) -> CallerApi:
        keyed = KeyedRuns(self._keys, self._dispatcher, self._upstreams)
        return CallerApi(
            self._role_settings,
            self._control,
            self._upstreams,
            Authenticator(self._control, self._trials),
            self._make_chat_api(keyed),
            PlainApi(
                self._dispatcher, keyed, self._role_settings.default_deadline_s
            ),
            KeyedRefusalCorrector(self._keys),
            RequestMeter(self._metrics),
        )

    def _make_chat_api(self, keyed: KeyedRuns) -> ChatApi:
        signer = SessionSigner(self._role_settings.session_keys)
        return ChatApi(
            ChatAdmission(
                self._trials, signer, self._role_settings.default_deadline_s
            ),
            ChatAnswers(self._billing, signer),
            self._dispatcher,
            keyed,
            Escalation(self._dispatcher),
            self._trials,
            self._billing,
            self._limits,
            self._deferrals,
        )

    async def on_start(self) -> None:
        """Opens the callers' port."""
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._role_settings.http_host,
            self._role_settings.http_port,
        )
        await self._site.start()
        _log.info(
            "entry_started", extra={"port": self._role_settings.http_port}
        )

    async def on_stop(self) -> None:
        """Closes the callers' port."""
        await self._runner.cleanup()

    async def drain(self) -> None:
        """Reports to the balancer as leaving and waits for open requests."""
        self._api.leaving = True
        _log.info("drain_started", extra={"open": self._api.open_requests})
        self._deferrals.start_all()
        await asyncio.sleep(BALANCER_NOTICE_S)
        try:
            await asyncio.wait_for(
                self._api.idle.wait(), self._role_settings.drain_timeout_s
            )
        except TimeoutError:
            _log.warning("drain_timeout")
        await self._billing.flush()

    def _on_hello(self, peer: PeerId, message: Message) -> None:
        assert isinstance(message, Hello)
        answer = Hello(VmId(""), 0, answered_sequence=message.sequence)
        self._hub.send(peer, answer)

    def _on_dump_request(self, peer: PeerId, message: Message) -> None:
        del message
        self._hub.send(peer, DumpAnswer(self._make_dump()))

    def _make_dump(self) -> bytes:
        return msgspec.json.encode(
            {
                "role": "entry",
                "vm": self._settings.vm,
                "zone": self._settings.zone,
                "leaving": self._api.leaving,
                "open_requests": self._api.open_requests,
                "upstreams": self._upstreams.get_dump(),
                "peers": self._peers.get_dump(),
                "request_keys": self._keys.get_dump(),
                "dispatcher": self._dispatcher.get_sizes(),
                "billing": self._billing.get_sizes(),
                "rollouts": self._trials.get_dump(),
                "limits": self._limits.get_dump(),
                "deferrals": self._deferrals.get_sizes(),
                "control": self._control.get_dump(),
            }
        )
