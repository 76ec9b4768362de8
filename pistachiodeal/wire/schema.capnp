@0xd1c1a6e4b7f30a55;
# Frames on the links between entries and agents. Structs and fields have the names of
# the data classes in *messages.py and of their fields, these in camelCase. Fields are
# never renumbered; new ones are added at the end.

struct Resources {
  cpuMilli @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int32;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Challenge {
  version @0 :UInt32;
  nonce @1 :Data;
}

struct Hello {
  role @0 :Text;
  node @1 :Text;
  incarnation @2 :UInt64;
  worker @3 :Text;
  dataCentre @4 :Text;
  rack @5 :Text;
  nonce @6 :Data;
  proof @7 :Data;
  version @8 :UInt32;
}

struct Welcome {
  node @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  proof @3 :Data;
}

struct Ping {}

struct Goodbye {
  reason @0 :Text;
}

struct EntryAddress {
  node @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
}

struct PartitionOwner {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  node @2 :Text;
  address @3 :Text;
}

struct Directory {
  entries @0 :List(EntryAddress);
  owners @1 :List(PartitionOwner);
}

struct PolicyPart {
  service @0 :Text;
  version @1 :UInt64;
  profile @2 :Text;
}

struct Policies {
  parts @0 :List(PolicyPart);
}

struct ServiceLoad {
  service @0 :Text;
  slots @1 :UInt32;
  busy @2 :UInt32;
  queued @3 :UInt32;
  latencyUs @4 :UInt64;
}

struct TaskRef {
  taskId @0 :Text;
  attempt @1 :UInt32;
  epoch @2 :UInt64;
}

struct Report {
  beat @0 :UInt64;
  draining @1 :Bool;
  capacity @2 :Resources;
  free @3 :Resources;
  services @4 :List(ServiceLoad);
  tasks @5 :List(TaskRef);
}

struct LeaseGrant {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  leaseMs @2 :UInt64;
}

struct Renew {
  beat @0 :UInt64;
  grants @1 :List(LeaseGrant);
}

struct Request {
  requestId @0 :UInt64;
  service @1 :Text;
  caller @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  budgetMs @7 :UInt32;
}

struct Withdraw {
  requestId @0 :UInt64;
}

struct Response {
  requestId @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
}

struct Refusal {
  requestId @0 :UInt64;
  code @1 :Text;
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
}

struct Failure {
  requestId @0 :UInt64;
  outcome @1 :Text;
  code @2 :Text;
  step @3 :Text;
  detail @4 :Text;
}

struct Start {
  taskId @0 :Text;
  attempt @1 :UInt32;
  partition @2 :UInt32;
  epoch @3 :UInt64;
  beat @4 :UInt64;
  leaseMs @5 :UInt64;
  kind @6 :Text;
  profile @7 :Text;
  size @8 :Resources;
  payload @9 :Text;
  checkpoint @10 :Text;
  minRunMs @11 :UInt64;
  evictions @12 :UInt32;
}

struct StartRefused {
  taskId @0 :Text;
  attempt @1 :UInt32;
  code @2 :Text;
  detail @3 :Text;
}

struct Stop {
  taskId @0 :Text;
  attempt @1 :UInt32;
  partition @2 :UInt32;
  epoch @3 :UInt64;
  evict @4 :Bool;
}

struct TaskEnded {
  taskId @0 :Text;
  attempt @1 :UInt32;
  state @2 :Text;
  result @3 :Text;
  checkpoint @4 :Text;
  used @5 :Resources;
  runMs @6 :UInt64;
}

struct TaskAck {
  taskId @0 :Text;
  attempt @1 :UInt32;
}

struct PairEvidence {
  service @0 :Text;
  kind @1 :Text;
  slowdownSumMilli @2 :Int64;
  weightMilli @3 :Int64;
}

struct Evidence {
  pairs @0 :List(PairEvidence);
}

struct Label {
  text @0 :Text;
}

struct RunningTask {
  task @0 :Text;
  run @1 :UInt32;
  checkpoint @2 :Text;
  percent @3 :Int32;
  figure @4 :Int64;
  workedMilli @5 :Int32;
}

struct EndedTask {
  number @0 :UInt64;
  task @1 :Text;
  run @2 :UInt32;
  how @3 :Text;
  checkpoint @4 :Text;
}

struct OrderOutcome {
  task @0 :Text;
  run @1 :UInt32;
  outcome @2 :Text;
  detail @3 :Text;
}

struct LostRun {
  task @0 :Text;
  run @1 :UInt32;
  ageMs @2 :Int64;
}

struct WorkerLoss {
  worker @0 :Text;
  cause @1 :Text;
  agoMs @2 :Int64;
  runs @3 :List(LostRun);
  ends @4 :List(EndedTask);
}

struct WorkerReport {
  beat @0 :UInt64;
  epoch @1 :UInt64;
  worker @2 :Text;
  obsoleteLostWorker @3 :Text;
  service @4 :Text;
  listed @5 :Bool;
  draining @6 :Bool;
  leavingMs @7 :Int64;
  cpuMilli @8 :Int64;
  memoryMib @9 :Int64;
  accelerators @10 :Int32;
  labels @11 :List(Label);
  running @12 :List(RunningTask);
  ends @13 :List(EndedTask);
  outcomes @14 :List(OrderOutcome);
  losses @15 :List(WorkerLoss);
}

struct RunOrder {
  task @0 :Text;
  run @1 :UInt32;
  checkpoint @2 :Text;
  ticket @3 :Text;
  fills @4 :Bool;
  servesMs @5 :Int64;
  image @6 :Text;
  cpuMilli @7 :Int64;
  memoryMib @8 :Int64;
  accelerators @9 :Int32;
}

struct PairPress {
  filling @0 :Text;
  serving @1 :Text;
  pressMilli @2 :Int32;
}

struct RunRef {
  task @0 :Text;
  run @1 :UInt32;
}

struct JobText {
  job @0 :Text;
  text @1 :Text;
}

struct Directive {
  epoch @0 :UInt64;
  beat @1 :UInt64;
  grantMs @2 :Int64;
  token @3 :UInt64;
  worker @4 :Text;
  endsNoted @5 :UInt64;
  texts @6 :List(JobText);
  starts @7 :List(RunOrder);
  stops @8 :List(RunRef);
  known @9 :List(RunOrder);
  presses @10 :List(PairPress);
  startsMs @11 :Int64 = -1;
}

struct LoadLevelRow {
  timelyWork @0 :Int64;
  waitingWork @1 :Int64;
}

struct QueueLoadRow {
  queue @0 :Text;
  demand @1 :Text;
  waitingJobs @2 :Int64;
  drainMilli @3 :Int64;
  drainHighMilli @4 :Int64;
  oldestWaitMs @5 :Int64;
  usualPathMs @6 :Int64;
  usualWork @7 :Int64;
  returningWork @8 :Int64;
  levels @9 :List(LoadLevelRow);
}

struct LeaderNotice {
  epoch @0 :UInt64;
  address @1 :Text;
  storeAgeMs @2 :Int64;
  entries @3 :List(Label);
  heardMs @4 :Int64;
  load @5 :List(QueueLoadRow);
  invited @6 :List(Label);
  loadAgeMs @7 :Int64 = -1;
  loading @8 :Bool;
}

struct EntryState {
  address @0 :Text;
  fitnessMilli @1 :Int64;
}

struct Appointment {
  epoch @0 :UInt64;
}

struct JobNotice {
  key @0 :Text;
  rejected @1 :Bool;
  uncertain @2 :Bool;
  queue @3 :Text;
  demand @4 :Text;
  work @5 :Int64;
  pathMs @6 :Int64;
  stretchMilli @7 :Int64;
  aimMs @8 :Int64;
  retryMs @9 :Int64;
}

struct JobQuery {
  requestId @0 :UInt64;
  job @1 :Text;
  queue @2 :Text;
}

struct JobAnswer {
  requestId @0 :UInt64;
  state @1 :Text;
  pending @2 :Int64;
}

struct RelayCondition {
  table @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
}

struct RelayWrite {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  removed @3 :Bool;
}

struct RelayRow {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
}

struct RelayCommit {
  requestId @0 :UInt64;
  conditions @1 :List(RelayCondition);
  writes @2 :List(RelayWrite);
}

struct RelayRead {
  requestId @0 :UInt64;
  table @1 :Text;
  start @2 :Text;
  end @3 :Text;
  limit @4 :UInt32;
  partition @5 :Text;
}

struct RelayAnswer {
  requestId @0 :UInt64;
  failure @1 :Text;
  committed @2 :Bool;
  version @3 :UInt64;
  truncated @4 :Bool;
  rows @5 :List(RelayRow);
}

struct ConfigurationQuery {
  version @0 :UInt64;
}

struct ConfigurationAnswer {
  version @0 :UInt64;
  value @1 :Data;
  ageMs @2 :UInt64;
}

struct Frame {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    ping @3 :Ping;
    goodbye @4 :Goodbye;
    directory @5 :Directory;
    policies @6 :Policies;
    report @7 :Report;
    renew @8 :Renew;
    request @9 :Request;
    withdraw @10 :Withdraw;
    response @11 :Response;
    refusal @12 :Refusal;
    failure @13 :Failure;
    start @14 :Start;
    startRefused @15 :StartRefused;
    stop @16 :Stop;
    taskEnded @17 :TaskEnded;
    taskAck @18 :TaskAck;
    evidence @19 :Evidence;
    workerReport @20 :WorkerReport;
    directive @21 :Directive;
    leaderNotice @22 :LeaderNotice;
    jobQuery @23 :JobQuery;
    jobAnswer @24 :JobAnswer;
    jobNotice @25 :JobNotice;
    relayCommit @26 :RelayCommit;
    relayRead @27 :RelayRead;
    relayAnswer @28 :RelayAnswer;
    entryState @29 :EntryState;
    appointment @30 :Appointment;
    configurationQuery @31 :ConfigurationQuery;
    configurationAnswer @32 :ConfigurationAnswer;
  }
}
