@0xb3f1c2d4e5a60718;
# Messages between rattanrock's own processes. A change adds fields at the end
# of a struct; nothing is renumbered, so that two versions can talk during a
# rolling replacement.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rattan::rpc");

struct Failure {
  # Empty code means success.
  code @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  message @3 :Text;
  retryAfterMs @4 :UInt64;
}

struct ConfigText {
  version @0 :UInt64;
  text @1 :Text;
  author @2 :Text;
}

struct InstanceState {
  # What an instance says of itself, and what it last heard of others.
  instance @0 :Text;
  incarnation @1 :Text;
  domain @2 :Text;
  plannerAddress @3 :Text;
  entryAddress @4 :Text;
  configVersion @5 :UInt64;
  leaving @6 :Bool;
  driverReady @7 :Bool;
  ageMs @8 :UInt64;
  # Milliseconds since this state was heard from the instance itself.
  activePlanner @9 :Bool;
  epoch @10 :UInt64;
}

struct JobView {
  key @0 :Text;
  workspace @1 :Text;
  jobClass @2 :Text;
  state @3 :Text;
  # queued, reserving, running, checkpointing, done, failed, cancelled, refused.
  reason @4 :Text;
  members @5 :UInt32;
  membersReady @6 :UInt32;
  acceleratorsPerMember @7 :UInt32;
  attempt @8 :UInt32;
  submittedMs @9 :Int64;
  startedMs @10 :Int64;
  finishedMs @11 :Int64;
  workers @12 :List(Text);
  waitsFor @13 :Text;
  # What the job waits for, in terms of the operators' text; explain prints it.
  result @14 :Text;
}

struct WorkspaceView {
  workspace @0 :Text;
  guaranteedAccelerators @1 :UInt32;
  usedAccelerators @2 :UInt32;
  borrowedAccelerators @3 :UInt32;
  queuedUrgent @4 :UInt32;
  queuedOrdinary @5 :UInt32;
  queuedPatient @6 :UInt32;
  running @7 :UInt32;
}

struct RackView {
  rack @0 :Text;
  workers @1 :UInt32;
  accelerators @2 :UInt32;
  free @3 :UInt32;
  quarantined @4 :UInt32;
}

struct DomainView {
  domain @0 :Text;
  configVersion @1 :UInt64;
  activeInstance @2 :Text;
  epoch @3 :UInt64;
  ready @4 :Bool;
  # False until the planner has learnt the leases from its workers.
  fragmentation @5 :Float64;
  workspaces @6 :List(WorkspaceView);
  racks @7 :List(RackView);
  quarantined @8 :List(Text);
  instances @9 :List(InstanceState);
  logReachable @10 :Bool;
}

interface Planner {
  config @0 (after :UInt64) -> (config :ConfigText);
  # The text in force; an empty text when `after` is already the newest.

  job @1 (workspace :Text, key :Text, forwarded :Bool) -> (found :Bool, view :JobView);
  jobs @2 (workspace :Text, limit :UInt32, forwarded :Bool) -> (views :List(JobView));
  domain @3 (forwarded :Bool) -> (view :DomainView);
  # job, jobs and domain are passed on to the active planner of the domain once;
  # `forwarded` keeps two planners that disagree from passing them to and fro.

  greet @4 (from :InstanceState, known :List(InstanceState)) -> (own :InstanceState, known :List(InstanceState));
  # Heartbeat between instances, and how the membership spreads.

  drain @5 () -> ();
  # This instance gives up deciding and says it is leaving.

  jobRecords @6 (after :UInt64, limit :UInt32) -> (records :List(JobRecordText), next :UInt64, firstKept :UInt64);
  # The job records this planner has read from the log, for a replacement that
  # starts while the log is down.
}

struct JobRecordText {
  offset @0 :UInt64;
  record @1 :Text;
  # The JSON value as it stands in the log.
}

struct Member {
  worker @0 :Text;
  address @1 :Text;
  accelerators @2 :UInt32;
  cores @3 :UInt32;
  memoryMb @4 :UInt64;
}

struct Order {
  # One thing the planner wants done.
  kind @0 :Kind;
  job @1 :UInt64;
  attempt @2 :UInt32;
  members @3 :List(Member);
  payload @4 :Text;
  # JSON handed to the worker with a start.
  reason @5 :Text;
  sharePercent @6 :UInt32;
  key @7 :Text;
  workspace @8 :Text;
  lease @9 :Text;
  # For releaseOrphan: a lease found at a worker that no job owns.

  enum Kind {
    startGang @0;
    stopGang @1;
    checkpointGang @2;
    throttleGang @3;
    adoptGang @4;
    # Take over the renewals of a gang that was found running.
    releaseOrphan @5;
  }
}

struct LeaseView {
  lease @0 :Text;
  job @1 :UInt64;
  attempt @2 :UInt32;
  state @3 :Text;
  accelerators @4 :UInt32;
  remainingMs @5 :Int64;
  key @6 :Text;
  workspace @7 :Text;
  gangSize @8 :UInt32;
  cores @9 :UInt32;
  memoryMb @10 :UInt64;
}

struct WorkerView {
  worker @0 :Text;
  address @1 :Text;
  rack @2 :Text;
  accelerators @3 :UInt32;
  cores @4 :UInt32;
  memoryMb @5 :UInt64;
  leaving @6 :Bool;
  reachable @7 :Bool;
  epoch @8 :UInt64;
  # The highest epoch this worker has accepted.
  incarnation @9 :Text;
  leases @10 :List(LeaseView);
}

struct DriverEvent {
  number @0 :UInt64;
  # Counts up per driver incarnation.
  kind @1 :Kind;
  job @2 :UInt64;
  attempt @3 :UInt32;
  worker @4 :Text;
  reason @5 :Text;
  result @6 :Text;
  membersReady @7 :UInt32;
  usedAccelerators @8 :UInt32;
  usedMemoryMb @9 :UInt64;
  progress @10 :Float64;
  # Share of the work kept by the last checkpoint, 0 to 1.

  enum Kind {
    gangProgress @0;
    gangStarted @1;
    gangFinished @2;
    gangFailed @3;
    # Not one member is running when this is said.
    gangStopped @4;
    # Stopped on order; `progress` says what was kept.
    gangUsage @5;
    epochRefused @6;
    # A worker has accepted a higher epoch than ours.
  }
}

interface Driver {
  exchange @0 (planner :Text, epoch :UInt64, acknowledged :UInt64, orders :List(Order))
      -> (incarnation :Text, events :List(DriverEvent));
  # Orders of a lower epoch than one seen before are refused by an exception.
  # Events stay until acknowledged by number; at most 1024 come at once.

  survey @1 (epoch :UInt64, planner :Text) -> (complete :Bool, workers :List(WorkerView));
  # What the workers last said. With an epoch above zero the workers are asked
  # to accept it first; complete once every listed worker has answered or is
  # past its lease time without an answer.

  drain @2 () -> ();
}

interface Entry {
  useTicket @0 (ticket :Text, workspace :Text, operation :Text, body :Text, deadlineMs :UInt64, traceparent :Text)
      -> (failure :Failure, status :UInt32, outcome :Text, answer :Text);
  # Runs or answers a ticket minted by this process.

  health @1 () -> (inFlight :UInt32, leaving :Bool);
}
