/** Messages between routers. Every request carries the sender and its revision. */
namespace py peer

struct Sender {
  1: required string incarnation
  2: required string address
  3: required i64 revision
}

/** One news item: kind is "suspect", "state", "death" or "recovered"; payload is msgpack. */
struct NewsItem {
  1: required string kind
  2: required string subject
  3: required i64 number
  4: required binary payload
}

struct ProbeReply {
  1: required Sender sender
  2: required string state
  3: required list<NewsItem> news
}

/** One journal entry; body is msgpack of a JournalReserve, JournalFinish or JournalTransfer. */
struct JournalEntry {
  1: required i64 sequence
  2: required binary body
}

struct JournalBatch {
  1: required Sender sender
  2: required i64 durable_below
  3: required list<JournalEntry> entries
}

struct JournalAck {
  1: required bool accepted
  2: required i64 sequence
}

struct JournalExport {
  1: required bool known
  2: required list<JournalEntry> entries
}

struct TransferAsk {
  1: required Sender sender
  2: required string ask
  3: required string client_account
  4: required string budget
  5: required i64 tokens
}

struct TransferNote {
  1: required Sender sender
  2: required string transfer
  3: required string client_account
  4: required string budget
  5: required string from_grant
  6: required i64 tokens
}

struct Config {
  1: required i64 revision
  2: required binary value
}

struct Answer {
  1: required bool found
  2: required binary body
}

service Peer {
  ProbeReply probe(1: Sender sender, 2: list<NewsItem> news)
  JournalAck append_journal(1: JournalBatch batch)
  JournalExport fetch_journal(1: Sender sender, 2: string incarnation)
  TransferNote ask_transfer(1: TransferAsk ask)
  ProbeReply share_news(1: Sender sender, 2: list<NewsItem> news)
  Config fetch_config(1: Sender sender, 2: i64 minimum_revision)
  Answer fetch_answer(1: Sender sender, 2: string client_account, 3: string key_hash)
}
