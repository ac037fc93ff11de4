"""Router on the users' platform: a relay of HTTP requests to backend servers.

It accepts the requests of callers, forwards each to a backend server and relays
the response.
"""
