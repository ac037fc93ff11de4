"""Prepaid tokens of client accounts.

Accounts are grouped into shards. One router at a time, the owner of the shard,
hands out tokens of its accounts to all routers. It stays within a bound that
it stores beforehand, so a successor never hands out the same tokens again.
"""
