"""Named faults of a stand-in and the handler that sets them."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from aiohttp import web


class UnknownFaultError(Exception):
    """A fault that the stand-in doesn't have."""


class Faults(msgspec.Struct, kw_only=True):
    """Base of the faults of one stand-in: each field is a fault.

    A field's default means that the fault is off.
    """

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the named faults, all or none; None sets the default back.

        Raises:
            UnknownFaultError: for a name that isn't a field.
            msgspec.ValidationError: for a value of the wrong type.
        """
        fresh = type(self)()
        fields = {f.name: f for f in msgspec.structs.fields(type(self))}
        checked: dict[str, Any] = {}
        for name, value in changes.items():
            if name not in fields:
                raise UnknownFaultError(name)
            if value is None:
                checked[name] = getattr(fresh, name)
            else:
                checked[name] = msgspec.convert(value, fields[name].type)
        for name, value in checked.items():
            setattr(self, name, value)


def error(status: int, code: str, **more: Any) -> web.Response:
    """The JSON answer of every stand-in to a call that it refuses."""
    body = {"error": {"code": code, "message": code, "type": code}, **more}
    return web.json_response(body, status=status)


async def read_object(request: web.Request) -> dict[str, Any]:
    """The JSON object in the body.

    Raises:
        web.HTTPBadRequest: where the body is something else.
    """
    try:
        body = await request.json()
    except (json.JSONDecodeError, UnicodeDecodeError):
        body = None
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="the body has to be a JSON object")
    return body


def add_fault_route(app: web.Application, faults: Faults) -> None:
    """Serves `POST /_faults`, which answers all faults as they now are."""

    async def handle(request: web.Request) -> web.Response:
        try:
            faults.update(await read_object(request))
        except UnknownFaultError as unknown:
            return error(400, "unknown_fault", fault=str(unknown))
        except msgspec.ValidationError as wrong:
            return error(400, "wrong_fault_value", detail=str(wrong))
        return web.json_response(msgspec.structs.asdict(faults))

    app.router.add_post("/_faults", handle)
