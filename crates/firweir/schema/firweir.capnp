@0xd1c6f0a3b7e94825;
# Messages between firweir's own processes. src/wire/firweir_capnp.rs is
# generated from this file: docs/PROGRAMS.md has the command.

struct Hello {
  # Opens every exchange. A peer of another deployment is refused.
  deployment @0 :Text;
  node @1 :Text;
}

struct Member {
  node @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  counter @3 :UInt64;
  state @4 :MemberState;
  stewardAddress @5 :Text;
  draftAddress @6 :Text;
  feedAddress @7 :Text;
  # Configuration revision in force on every program of the VM.
  revision @8 :UInt64;
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Upstream {
  address @0 :Text;
  zone @1 :Text;
  service @2 :Text;
  leaving @3 :Bool;
}

struct Demand {
  # What one entry asks of one service, for the division of upstream limits.
  service @0 :Text;
  inFlight @1 :UInt32;
  waiting @2 :UInt32;
}

struct Suspect {
  # A request that was in flight on upstreams as they crashed.
  fingerprint @0 :UInt64;
  upstreamsLost @1 :UInt32;
}

struct Observed {
  # What the programs of one VM report; newest (incarnation, counter) wins.
  node @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt64;
  demands @3 :List(Demand);
  suspects @4 :List(Suspect);
}

struct View {
  generation @0 :UInt64;
  revision @1 :UInt64;
  # The merged configuration as JSON.
  config @2 :Data;
  members @3 :List(Member);
  upstreams @4 :List(Upstream);
  observed @5 :List(Observed);
}

struct ConfigDocument {
  revision @0 :UInt64;
  # The configuration head as JSON, the way the object API holds it.
  document @1 :Data;
}

interface Steward {
  # One per VM. `view` waits until the steward holds a generation newer than `known`.
  view @0 (known :UInt64, program :Text, revision :UInt64) -> (view :View);
  exchange @1 (hello :Hello, members :List(Member), config :ConfigDocument,
               observed :List(Observed))
      -> (members :List(Member), config :ConfigDocument, observed :List(Observed));
  status @2 () -> (revision :UInt64, members :List(Member));
  leave @3 () -> ();
  # A program of this VM reports what it observes; `node` and counters are the steward's.
  report @4 (observed :Observed) -> ();
}

struct Draft {
  feed @0 :Text;
  step @1 :UInt64;
  group @2 :UInt32;
  index @3 :UInt32;
  attempt @4 :UInt32;
  service @5 :Text;
  model @6 :Text;
  prompt @7 :Text;
  maxTokens @8 :UInt32;
  deadlineMs @9 :UInt64;
  epoch @10 :UInt64;
}

struct Segment {
  text @0 :Text;
  tokens @1 :UInt32;
  weightVersion @2 :UInt64;
}

struct DraftAnswer {
  union {
    answered @0 :List(Segment);
    notRun @1 :Refusal;
    unknown @2 :Text;
  }
}

struct Refusal {
  reason @0 :Text;
  retryAfterMs @1 :UInt64;
}

interface Entry {
  # Takes one draft as training work, through the limits that live calls pass.
  draft @0 (draft :Draft) -> (answer :DraftAnswer);
  # Charged calls: this entry may hold the shard that the key falls into.
  begin @1 (charge :Charge) -> (verdict :Verdict);
  end @2 (key :Text, claim :Text, progress :Progress) -> (kept :Bool);
  # Tells of a suspect at once, ahead of the reports between stewards.
  suspect @3 (node :Text, suspect :Suspect) -> ();
}

struct Charge {
  # Digest of service and idempotency key.
  key @0 :Text;
  # Digest of the request under that key.
  fingerprint @1 :Text;
  # Names this one attempt to run it; the same when the message is sent again.
  claim @2 :Text;
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Text;
}

struct Progress {
  union {
    started @0 :Void;
    notRun @1 :Void;
    answered @2 :StoredAnswer;
  }
}

struct Verdict {
  union {
    run @0 :Void;
    answered @1 :StoredAnswer;
    mayHaveRun @2 :Void;
    keyReused @3 :Void;
    refused @4 :Refusal;
    # Where the holder of the shard takes charges.
    moved @5 :Text;
  }
}
