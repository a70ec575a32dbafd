# Messages between entry daemons. The C++ in generated/ is made by:
#   capnp compile -oc++:generated peer.capnp
@0xc8d1f6a52e9b4073;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("anvilmoor::peer::wire");

interface Peer {
  # Identifies the calling host for the whole session, so that `deliver` does not carry it.
  open @0 (host :Text) -> (session :Session);
}

interface Session {
  # Delivers one message. Calls arrive in the order in which they were made.
  deliver @0 (message :Message) -> ();
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    configurationPush @1 :ConfigurationPush;
    drainPush @2 :DrainPush;
    jobNotice @3 :JobNotice;
    requestLookup @4 :RequestLookup;
    requestLookupAnswer @5 :RequestLookupAnswer;
  }
}

struct ZoneSummary {
  freeAccelerators @0 :Int32;
  largestFreeShape @1 :Int32;
  queuedJobs @2 :Int32;
  runningTasks @3 :Int32;
}

struct Heartbeat {
  host @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  isReady @3 :Bool;
  isStopping @4 :Bool;
  configurationVersion @5 :UInt64;
  drainVersion @6 :UInt64;
  heldToken @7 :UInt64;
  summary @8 :ZoneSummary;
  knownConfigurationVersion @9 :UInt64; # 0 from releases that predate this field
}

struct ConfigurationPush {
  version @0 :UInt64;
  document @1 :Data;
}

struct DrainPush {
  version @0 :UInt64;
  endpoints @1 :List(Text);
}

struct JobNotice {
  zone @0 :Text;
  job @1 :Text;
}

struct RequestIdentity {
  account @0 :Text;
  key @1 :Data;
}

struct RequestLookup {
  lookup @0 :UInt64;
  identity @1 :RequestIdentity;
}

enum RequestOutcome {
  done @0;
  notRun @1;
  unknown @2;
  refused @3;
}

struct RequestAnswer {
  outcome @0 :RequestOutcome;
  body @1 :Data;
  reason @2 :Data;
  retryAfterMs @3 :Int64;
  isFromRecord @4 :Bool;
  isConflict @5 :Bool;
}

struct RequestLookupAnswer {
  lookup @0 :UInt64;
  isKnown @1 :Bool;
  isFinished @2 :Bool;
  answer @3 :RequestAnswer;
}
