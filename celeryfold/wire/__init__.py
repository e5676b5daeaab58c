"""HTTP/1.1 client and server with JSON bodies, based on the h11 library."""

from __future__ import annotations

__all__ = ["HttpClient", "HttpRequest", "HttpResponse", "HttpServer"]

from .client import HttpClient
from .messages import HttpRequest, HttpResponse
from .server import HttpServer
