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
  # Where its vault takes lots; empty if it has none.
  vaultAddress @9 :Text;
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
  # Changes since the reader's revision as JSON; set in place of the document.
  changes @2 :Data;
}

struct UpstreamRow {
  # One line of the VM list, as it spreads between stewards; the larger stamp wins.
  upstream @0 :Upstream;
  stamp @1 :UInt64;
  # It is in the list still.
  listed @2 :Bool;
}

interface Steward {
  # One per VM. `view` waits until the steward holds a generation newer than `known`.
  view @0 (known :UInt64, program :Text, revision :UInt64) -> (view :View);
  exchange @1 (hello :Hello, members :List(Member), config :ConfigDocument,
               observed :List(Observed), upstreams :List(UpstreamRow), digest :UInt64,
               whole :Bool)
      -> (members :List(Member), config :ConfigDocument, observed :List(Observed),
          upstreams :List(UpstreamRow), digest :UInt64, hello :Hello);
  status @2 () -> (revision :UInt64, members :List(Member));
  leave @3 () -> ();
  # A program of this VM reports what it observes; `node` and counters are the steward's.
  report @4 (observed :Observed) -> ();
  # Asks for an exchange with a third VM, which the asker could not reach.
  probe @5 (hello :Hello, target :Text, node :Text) -> (reached :Bool);
  # The revision with which every program of this VM works.
  inForce @6 () -> (revision :UInt64, node :Text);
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
  # The sample's text so far, to be gone on from.
  resumeText @11 :Text;
  # Same for every attempt at a sample.
  seed @12 :UInt64;
  # Text of an older version is of no use.
  oldestVersion @13 :UInt64;
  # Engines that the entry may ask, one after the other.
  engines @14 :UInt32;
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

interface Progress {
  # Text that came since the last call; none says that the entry is still at it.
  add @0 (segments :List(Segment)) -> ();
}

interface Entry {
  # Takes one draft as training work, through the limits that live calls pass.
  draft @0 (draft :Draft, progress :Progress) -> (answer :DraftAnswer);
  # Charged calls: this entry may hold the shard that the key falls into.
  begin @1 (charge :Charge) -> (verdict :Verdict);
  end @2 (key :Text, claim :Text, progress :ChargeState) -> (kept :Bool);
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

struct ChargeState {
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

struct LotKey {
  # Names the bytes of one lot: another lot of the same step has another digest.
  feed @0 :Text;
  step @1 :UInt64;
  generation @2 :UInt64;
  digest @3 :Text;
}

struct LotPart {
  key @0 :LotKey;
  # Parts come in order, from 0; the last one makes the lot durable.
  part @1 :UInt32;
  parts @2 :UInt32;
  data @3 :Data;
  # Lots of the feed below this step are needed no longer.
  floorStep @4 :UInt64;
}

enum VaultOutcome {
  done @0;
  # The vault holds as many parts as the answer says; go on from there.
  outOfOrder @1;
  missing @2;
  damaged @3;
  full @4;
  readFailed @5;
  writeFailed @6;
}

interface Vault {
  append @0 (part :LotPart) -> (outcome :VaultOutcome, held :UInt32);
  read @1 (key :LotKey, part :UInt32) -> (outcome :VaultOutcome, parts :UInt32, data :Data);
}
