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

# Endpoint crashes by the fingerprint of the request that ran.
struct Crashes {
  fingerprint @0 :UInt64;
  count @1 :UInt32;
}

# Heartbeat, sent to each peer several times a second.
struct Beat {
  host @0 :Text;
  incarnation @1 :Text;
  configuration @2 :UInt64;  # version in force
  fresh @3 :Bool;            # the store answered the sender recently
  stateDigest @4 :UInt64;    # hash of the sender's endpoints and moves
  evidence @5 :List(MoveEvidence);
  crashes @6 :List(Crashes);
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

# Root of every UDP datagram between hosts.
struct Datagram {
  union {
    beat @0 :Beat;
    witness @1 :Witness;
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
}

struct Move {
  service @0 :Text;
  target @1 :Text;
  limitMs @2 :Int64;
  state @3 :UInt8;
  revision @4 :UInt64;
  created @5 :UInt64;
  elapsedMs @6 :Int64;  # since the order was first seen
}

# A host's whole state, the answer to a peer that has missed changes.
struct State {
  configuration @0 :Text;  # as stored; empty before the first
  version @1 :UInt64;
  endpoints @2 :List(Endpoint);
  moves @3 :List(Move);
}
