# Messages between the hosts of a fleet.
@0xb6f1d83c5a0e2947;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rhubarbgrade::peer_protocol");

# Decaying sums over the requests that one version answered.
struct Sums {
  requests @0 :Float64;
  errors @1 :Float64;
  logLatency @2 :Float64;
  logLatencySquare @3 :Float64;
  timed @4 :Float64;
}

# Requests of one route by version: the old one (from) and the new one (to).
struct RouteEvidence {
  route @0 :Text;
  from @1 :Sums;
  to @2 :Sums;
  toAll @3 :Sums;
  toRecent @4 :Sums;
}

# A host's evidence on the move of a service to a new version.
struct MoveEvidence {
  service @0 :Text;
  target @1 :Text;
  routes @2 :List(RouteEvidence);
}

# A prompt part or a whole request that may have crashed an endpoint.
struct Suspect {
  id @0 :UInt64;
  depth @1 :UInt32;          # position in the prompt
  cleared @2 :Bool;          # answered whole after the crash
}

# The crash of one process of an endpoint.
struct Crash {
  process @0 :UInt64;        # hash of the endpoint's id and start
  ageMs @1 :UInt32;
  suspects @2 :List(Suspect);
}

# A limit on the requests that a process of an endpoint takes from all hosts.
struct RequestLimit {
  process @0 :UInt64;        # hash of the endpoint's id and start
  perSecond @1 :Float64;
  # Ages plus one, in ms, 0 for never.
  namedAge @2 :UInt32;       # last answer that named it
  unnamedAge @3 :UInt32;     # last request whose answer named none
  rejectedAge @4 :UInt32;    # last request turned away for want of room
}

# A suspect that must not be run.
struct Quarantine {
  suspect @0 :UInt64;
  ageMs @1 :UInt32;
  released @2 :Bool;         # proved harmless since
}

# Heartbeat, sent to each peer several times a second.
struct Beat {
  host @0 :Text;
  incarnation @1 :Text;
  configuration @2 :UInt64;  # version in force
  fresh @3 :Bool;            # the store answered the sender recently
  stateDigest @4 :UInt64;    # hash of the sender's endpoints and moves
  evidence @5 :List(MoveEvidence);
  crashes @6 :List(Crash);
  canWrite @7 :Bool;         # the sender can write the escrow account
  quarantined @8 :List(Quarantine);
  limits @9 :List(RequestLimit);
  brittle @11 :List(RequestLimit); # of requests that endpoints can turn away
  relayPort @10 :UInt16;     # passes connections on to endpoints; 0: does not
  # Set by hosts that report to hubs; started is 0 in those of earlier versions.
  started @12 :UInt64;       # of the process, Unix time in ms
  sequence @13 :UInt64;      # of the report
  address @14 :Text;         # "ip:port" for peers
  zone @15 :Text;
  capacity @16 :Float64;
  asksHub @17 :Bool;         # the sender takes the receiver for a hub
  stateAge @18 :UInt32;      # of its state, ms plus one; 0: unknown
  storeFailing @19 :Bool;    # the store doesn't answer the sender
  storeEra @20 :UInt64;      # the latest that the sender knows
  # Availability zones whose endpoints get no new requests, as of an era and
  # revision of the store; revision 0: the sender doesn't know.
  evacuatedZones @21 :List(Text);
  evacuationsEra @22 :UInt64;
  evacuationsRevision @23 :UInt64;
  storeAnswers @24 :Bool;    # the sender reads the store, which answers it
}

# A host's report as others pass it on.
struct Report {
  beat @0 :Data;             # a Datagram with the host's Beat, as it made it
  ageMs @1 :UInt32;
  down @2 :Bool;             # declared down by a hub of its zone
}

# When a hub last heard of a zone.
struct ZoneContact {
  zone @0 :Text;
  ageMs @1 :UInt32;
}

# What a host passes on of others.
struct News {
  sender @0 :Beat;
  hub @1 :Bool;              # the sender acts as hub
  reports @2 :List(Report);
  digest @3 :UInt64;         # hash of the versions of all reports
  zones @4 :List(ZoneContact);
  # Sums over the hosts of the sender's zone, for hubs of other zones; over all
  # zones, for hosts of its own.
  evidence @5 :List(MoveEvidence);
  # News comes in parts if it is long; the last one completes it.
  complete @6 :Bool;
  # Era and revision of the store that the sender's endpoints have reached, and
  # what has changed lately.
  era @7 :UInt64;
  position @8 :UInt64;
  changes @9 :List(EndpointChange);
}

# A change of the list of endpoints.
struct EndpointChange {
  endpoint @0 :Endpoint;
  gone @1 :Bool;
  lapsed @2 :Bool;           # around an outage of the store
  position @3 :UInt64;       # revision at which a host learned of it
}

# One run of a host's process; each start has a new incarnation.
struct Process {
  host @0 :Text;
  incarnation @1 :Text;
}

# Tokens of a customer's budget that the owner may spend in total.
struct Ceiling {
  customer @0 :Text;
  tokens @1 :UInt64;
}

# A host (owner) asks its witness, a process on another host, to confirm how
# many tokens of each budget it may spend. The answer repeats the request with
# confirmed set.
struct Witness {
  owner @0 :Process;
  witness @1 :Process;
  ceilings @2 :List(Ceiling);
  confirmed @3 :Bool;
}

# Tokens of one customer's budget.
struct Tokens {
  customer @0 :Text;
  tokens @1 :UInt64;
}

# Ceilings that a witness confirmed to a process that has ended.
struct Closed {
  owner @0 :Process;
  ceilings @1 :List(Tokens);
}

# A process's change to its holding in the escrow account, for the host that
# writes the account.
struct Change {
  owner @0 :Process;
  address @1 :Text;
  zone @2 :Text;
  capacity @3 :Float64;
  sequence @4 :UInt64;
  replaces @5 :Text;   # incarnation whose holding the owner takes over
  witness @6 :Process;
  drawn @7 :List(Tokens);
  used @8 :List(Tokens);
  closed @9 :List(Closed);
  urgent @10 :Bool;
  declares @11 :UInt64;      # era of the store; 0 if it is no declaration
}

# Tokens of one customer's budget in the whole account.
struct Total {
  customer @0 :Text;
  drawn @1 :UInt64;
  used @2 :UInt64;
}

enum ChangeResult {
  applied @0;
  known @1;
  refused @2;
  failed @3;
}

# The writer's answer to a change.
struct Answer {
  owner @0 :Process;
  sequence @1 :UInt64;
  result @2 :ChangeResult;
  revision @3 :UInt64;
  witness @4 :Process;
  drawn @5 :List(Tokens);
  totals @6 :List(Total);
  writer @7 :Text;
  hosts @8 :UInt32;
  era @9 :UInt64;
}

# Root of every UDP datagram between hosts.
struct Datagram {
  union {
    beat @0 :Beat;
    witness @1 :Witness;
    change @2 :Change;
    answer @3 :Answer;
    news @4 :News;           # to hosts only whose Beat has "started"
  }
}

struct Endpoint {
  id @0 :Text;
  service @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
  zone @4 :Text;
  version @5 :Text;
  slots @6 :UInt32;
  started @7 :UInt64;
  leaving @8 :Bool;
  coldMs @9 :UInt32;         # for which it takes fewer requests
}

struct Move {
  service @0 :Text;
  target @1 :Text;
  limitMs @2 :Int64;
  state @3 :UInt8;
  revision @4 :UInt64;
  created @5 :UInt64;
  elapsedMs @6 :Int64;  # since the order was first seen
  era @7 :UInt64;       # of the store that had the order; 0: not known
}

# A host's whole state, the answer to a peer that has missed changes.
struct State {
  configuration @0 :Text;  # as stored; empty before the first
  version @1 :UInt64;
  endpoints @2 :List(Endpoint);
  moves @3 :List(Move);
  reports @4 :List(Report);
  # Of the store that the endpoints are from; 0: not known.
  era @5 :UInt64;
  position @6 :UInt64;
}
