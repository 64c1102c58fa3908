@0xd1f0a6b27c9e4835;
# Orders for workers that one instance has another carry out, and what the workers
# answered. Fields are added at the end and never renumbered, so that two versions can
# talk while instances are replaced one after the other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rattan::delivery::wire");

struct Run {
  job @0 :Text;
  occurrence @1 :Int64;
  step @2 :Int32;
  index @3 :Int32;
  run @4 :Int64;
}

struct Worker {
  id @0 :Text;
  address @1 :Text;
  born @2 :Int64;
}

struct Details {
  # Of a start or a stop. The text of the job is not sent: every instance reads it.
  run @0 :Run;
  checkpoint @1 :Text;
  ticket @2 :Text;
  domain @3 :Text;
  # Of a start: the failure domain of the worker.
}

struct Order {
  id @0 :UInt32;
  kind @1 :Kind;
  wait @2 :UInt16;
  acknowledged @3 :UInt32;
  worker @4 :UInt32;
  # A number that the planner gives it in this session.
  leaseEnd @5 :Int64;
  hasLeaseEnd @6 :Bool;
  introduces @7 :Worker;
  # What the number stands for from now on; null: what it stood for before.
  details @8 :Details;

  enum Kind {
    start @0;
    stop @1;
    poll @2;
  }
}

struct Running {
  run @0 :Run;
  checkpoint @1 :Text;
  percent @2 :Int16;
}

struct Moved {
  place @0 :UInt16;
  # In the list of the report before.
  percent @1 :Int16;
  keepsCheckpoint @2 :Bool;
  checkpoint @3 :Text;
}

struct Ended {
  number @0 :Int64;
  run @1 :Run;
  end @2 :UInt16;
  checkpoint @3 :Text;
}

struct Report {
  # What has changed since the report before of the same worker in this session.
  born @0 :Int64;
  whole @1 :Bool;
  # There is no report before: all that runs is listed as added.
  moved @2 :List(Moved);
  removed @3 :List(UInt16);
  added @4 :List(Running);
  ended @5 :List(Ended);
  hasMoreEnds @6 :Bool;
  # There may be ends that are not listed.
}

struct Answer {
  id @0 :UInt32;
  kind @1 :Order.Kind;
  status @2 :UInt16;
  clock @3 :Int64;
  hasClock @4 :Bool;
  deposed @5 :Bool;
  taken @6 :Bool;
  outcome @7 :UInt16;
  # Of a start: how it was answered; of a poll without a report: why.
  report @8 :Report;
  worker @9 :UInt32;
}

interface Carrier {
  open @0 (term :Int64, answers :AnswerSink) -> (session :Session);
}

interface Session {
  carry @0 (sentAt :Int64, orders :List(Order)) -> ();
  # sentAt: the planner's time of day, in milliseconds.
}

interface AnswerSink {
  tell @0 (answers :List(Answer)) -> ();
}
