# RPC protocol between routers.
@0xd1a5f0c2b7e94831;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rhubarbgrade::protocol");

struct LedgerId {
  host @0 :Text;
  incarnation @1 :UInt64;
}

enum Pool {
  shared @0;
  solo @1;
}

struct Operation {
  union {
    credit :group { customer @0 :Text; tokens @1 :UInt64; }
    debit :group { customer @2 :Text; tokens @3 :UInt64; }
    setAside :group { customer @4 :Text; tokens @5 :UInt64; }
    reserve :group {
      request @6 :Text;
      customer @7 :Text;
      tokens @8 :UInt64;
      endpoint @9 :Text;
      pool @10 :Pool;
    }
    assign :group { request @11 :Text; endpoint @12 :Text; }
    settle :group { request @13 :Text; tokens @14 :UInt64; }
    release :group { request @15 :Text; }
    storeBills :group { batch @16 :UInt64; through @17 :UInt64; }
    markSettled :group { batch @18 :UInt64; }
    adoptReservation :group {
      request @19 :Text;
      customer @20 :Text;
      tokens @21 :UInt64;
      endpoint @22 :Text;
      pool @23 :Pool;
      origin @24 :LedgerId;
    }
    adoptBill :group {
      request @25 :Text;
      customer @26 :Text;
      tokens @27 :UInt64;
      endpoint @28 :Text;
      pool @29 :Pool;
      number @30 :UInt64;
    }
    recallRequest :group { request @31 :Text; endpoint @32 :Text; }
    adoptKeys :group { origin @33 :LedgerId; }
    claimKey :group { key @34 :Text; request @35 :Text; }
    dropClaim :group { key @36 :Text; }
    answerKey :group {
      key @37 :Text;
      status @38 :Int32;
      contentType @39 :Text;
      body @40 :Data;
    }
    putBack :group { customer @41 :Text; tokens @42 :UInt64; }
  }
}

struct HostBeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  count @2 :UInt64;
  leaving @3 :Bool;
}

struct ListedHost {
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  leaving @3 :Bool;
}

struct Sums {
  requests @0 :Float64;
  errors @1 :Float64;
  logLatency @2 :Float64;
  logLatencySquare @3 :Float64;
  timed @4 :Float64;
}

struct RouteEvidence {
  move @0 :Text;
  route @1 :Text;
  from @2 :Sums;
  to @3 :Sums;
  toAll @4 :Sums;
  toRecent @5 :Sums;
}

struct MoveEnd {
  move @0 :Text;
  takenBack @1 :Bool;
  reason @2 :Text;
}

# Names of the endpoints that report to be draining when a host probes their
# load.
struct LeavingReport {
  host @0 :Text;
  incarnation @1 :UInt64;
  count @2 :UInt64;
  endpoints @3 :List(Text);
}

struct Beat {
  sender @0 :Text;
  hosts @1 :List(HostBeat);
  generation @2 :UInt64;
  evidence @3 :List(RouteEvidence);
  ends @4 :List(MoveEnd);
  leavingReports @5 :List(LeavingReport);  # sent or received, of any zone
  quarantined @6 :List(Text);
  hostList @7 :UInt64;  # digest of the sender's host list
}

enum ReplicateStatus {
  ok @0;
  reset @1;      # the replica is out of sync; send the whole ledger again
  closing @2;    # the ledger is being closed, or the message was addressed to
                 # another process of the host
  closed @3;
}

enum ClaimStatus {
  claimed @0;
  answered @1;
  pending @2;
  notOwner @3;
  unavailable @4;
}

interface Router {
  beat @0 (beat :Beat) -> (beat :Beat);

  # Applies the operations of a session from number `first` on. The first
  # `sync` operations of a session rebuild the ledger; the replica of the
  # previous session remains valid until all of them have arrived.
  replicate @1 (ledger :LedgerId, secondBoot :UInt64, session :UInt64,
                sync :UInt64, first :UInt64, operations :List(Operation))
      -> (status :ReplicateStatus);

  # Asks a host of the zone for tokens. The host debits them before it answers.
  # A call that repeats `number` is answered alike, without a second debit.
  give @2 (customer :Text, tokens :UInt64, asker :LedgerId, number :UInt64)
      -> (tokens :UInt64);

  # Asks a host of another zone to return tokens to the platform.
  handBack @3 (customer :Text, tokens :UInt64) -> (tokens :UInt64);

  manifest @4 () -> (text :Data);
  part @5 (digest :Text) -> (text :Data);

  findRequest @6 (request :Text) -> (found :Bool, endpoint :Text);

  claim @7 (owner :LedgerId, key :Text, request :Text)
      -> (status :ClaimStatus, answerStatus :Int32, contentType :Text,
          body :Data);
  answer @8 (owner :LedgerId, key :Text, status :Int32, contentType :Text,
             body :Data);
  dropClaim @9 (owner :LedgerId, key :Text);

  # The host list as last read by this host, for a host that starts while it is
  # cut off from the platform.
  hosts @10 () -> (hosts :List(ListedHost));
}
