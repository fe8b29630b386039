"""Injectable faults of a stand-in and the HTTP handler that sets them."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from aiohttp import web


class UnknownFaultError(Exception):
    """A request names a fault that the stand-in does not have."""


class Faults(msgspec.Struct, kw_only=True):
    """Base class of a stand-in's faults: each field is one fault.

    A field with its default value means that the fault is off.
    """

    # Headers of each answer by which the stand-in says something of itself.
    notices: dict[str, str] | None = None

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the named faults atomically; None restores a fault's default.

        Args:
            changes: New values by fault name.

        Raises:
            UnknownFaultError: A name is not a field; nothing was changed.
            msgspec.ValidationError: A value has the wrong type; nothing was
                changed.
        """
        defaults = type(self)()
        fields = {f.name: f for f in msgspec.structs.fields(type(self))}
        validated: dict[str, Any] = {}
        for name, value in changes.items():
            if name not in fields:
                raise UnknownFaultError(name)
            if value is None:
                validated[name] = getattr(defaults, name)
            else:
                validated[name] = msgspec.convert(value, fields[name].type)
        for name, value in validated.items():
            setattr(self, name, value)


def error(status: int, code: str, **extra_fields: Any) -> web.Response:
    """Creates the JSON error response that all stand-ins use.

    Args:
        status: HTTP status.
        code: Error code; also used as the message and the type.
        **extra_fields: Further fields of the JSON object.
    """
    body = {
        "error": {"code": code, "message": code, "type": code},
        **extra_fields,
    }
    return web.json_response(body, status=status)


async def read_object(request: web.Request) -> dict[str, Any]:
    """Returns the JSON object in the body of a request.

    Raises:
        web.HTTPBadRequest: The body is not a JSON object.
    """
    try:
        body = await request.json()
    except (json.JSONDecodeError, UnicodeDecodeError):
        body = None
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="the body has to be a JSON object")
    return body


def add_fault_route(app: web.Application, faults: Faults) -> None:
    """Adds `POST /_faults`, which sets faults and returns the state of all."""

    async def handle(request: web.Request) -> web.Response:
        try:
            faults.update(await read_object(request))
        except UnknownFaultError as unknown:
            return error(400, "unknown_fault", fault=str(unknown))
        except msgspec.ValidationError as wrong:
            return error(400, "wrong_fault_value", detail=str(wrong))
        return web.json_response(msgspec.structs.asdict(faults))

    app.router.add_post("/_faults", handle)
