@0xb7d1c0f6a2e34d19;
# Messages between the system's own processes.  On the wire, each Frame follows its
# length as a 4-byte big-endian integer.  New fields get new numbers; a reader
# ignores fields that it does not know.

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    ask @2 :Ask;
    permit @3 :Permit;
    refusal @4 :Refusal;
    release @5 :Release;
    withdraw @6 :Withdraw;
    running @7 :Running;
    treeFetch @8 :TreeFetch;
    treePage @9 :TreePage;
    ticketOpen @10 :TicketOpen;
    ticketVerdict @11 :TicketVerdict;
    ticketClose @12 :TicketClose;
    suspicion @13 :Suspicion;
    queued @14 :Queued;
    pulse @15 :Pulse;
    replicaNews @16 :ReplicaNews;
    configurationNews @17 :ConfigurationNews;
    replicaBatch @18 :ReplicaBatch;
    replicaFetch @19 :ReplicaFetch;
    partTrial @20 :PartTrial;
    rolloutGrant @21 :RolloutGrant;
    rolloutReport @22 :RolloutReport;
  }
}

struct Hello {
  version @0 :UInt16;
  vm @1 :Text;
  zone @2 :Text;
  region @3 :Text;
  bootId @4 :Text;
}

struct PoolSummary {
  pool @0 :Text;
  queuedCount @1 :UInt32;
  waitMs @2 :UInt32;
  freeSlots @3 :UInt32;
  standingTier @4 :UInt32 = 0xffffffff;
}

struct Heartbeat {
  treeRevision @0 :UInt64;
  treeLineage @1 :Text;
  treeAgeMs @2 :UInt64;
  draining @3 :Bool;
  pools @4 :List(PoolSummary);
  refusals @5 :List(UpstreamRefusal);
  demands @6 :List(CustomerDemand);
  areaDemands @7 :List(CustomerDemand);
  areaVmCount @8 :UInt32;
  young @9 :Float64;
  areaYoung @10 :Float64;
  followsReplicas @11 :Bool;
  vmsDigest @12 :UInt64;
  leaving @13 :List(LeavingReplica);
  soundParts @14 :List(SoundPart);
  soundRequests @15 :List(SoundRequest);
  storeEra @16 :UInt64;
  treeEra @17 :UInt64;
}

struct LeavingReplica {
  replicaId @0 :Text;
  bornMs @1 :UInt64;
  leftAddress @2 :Text;
}

struct SoundPart {
  part @0 :Text;
  ageMs @1 :UInt64;
}

struct SoundRequest {
  fingerprint @0 :Text;
  ageMs @1 :UInt64;
}

struct CustomerDemand {
  customer @0 :Text;
  askedPerS @1 :Float64;
  spent @2 :Float64;
}

struct UpstreamRefusal {
  upstream @0 :Text;
  address @1 :Text;
  version @2 :UInt32;
  isRefusing @3 :Bool;
}

struct Ask {
  askId @0 :Text;
  pool @1 :Text;
  customer @2 :Text;
  tier @3 :UInt8;
  weight @4 :Float64;
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  prefixDigest @7 :UInt64;
  deadlineMs @8 :UInt64;
  excluded @9 :List(Text);
  aimMs @10 :Int64 = -1;
  route @11 :Text;
  amount @12 :UInt32;
  firstMs @13 :UInt32;
  totalMs @14 :UInt32;
  zone @15 :Text;
  wayMs @16 :Float64;
}

struct ReplicaNews {
  replicaId @0 :Text;
  revision @1 :UInt64;
  isGone @2 :Bool;
  service @3 :Text;
  address @4 :Text;
  zone @5 :Text;
  slots @6 :UInt32;
  isDraining @7 :Bool;
  coldMs @8 :Float64;
  bornMs @9 :UInt64;
  era @10 :UInt64;
  version @11 :Text;
}

struct ReplicaBatch {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  isFull @2 :Bool;
  replicas @3 :List(ReplicaNews);
  era @4 :UInt64;
}

struct ReplicaFetch {
  sequence @0 :UInt64;
}

struct ConfigurationNews {
  revision @0 :UInt64;
  document @1 :Data;
  era @2 :UInt64;
}

struct Queued {
  askId @0 :Text;
}

struct Permit {
  askId @0 :Text;
  pool @1 :Text;
  upstream @2 :Text;
  address @3 :Text;
  waitedMs @4 :UInt64;
  validMs @5 :UInt64;
}

struct Refusal {
  askId @0 :Text;
  kind @1 :Text;
  retryAfterMs @2 :UInt32;
}

struct Release {
  askId @0 :Text;
  pool @1 :Text;
  upstream @2 :Text;
  sent @3 :Bool;
  failure @4 :Text;
  firstTokenMs @5 :UInt64;
  totalMs @6 :UInt64;
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  status @9 :UInt16;
}

struct Pulse {
  askId @0 :Text;
  pool @1 :Text;
  upstream @2 :Text;
  firstTokenMs @3 :UInt64;
  decodeMs @4 :UInt64;
  outputTokens @5 :UInt32;
}

struct Withdraw {
  askId @0 :Text;
  pool @1 :Text;
}

struct Running {
  askId @0 :Text;
  pool @1 :Text;
  upstream @2 :Text;
  promptTokens @3 :UInt32;
  outputTokens @4 :UInt32;
}

struct TreeFetch {
  afterRevision @0 :UInt64;
  lineage @1 :Text;
  isSnapshot @2 :Bool;
  snapshotRevision @3 :UInt64;
  firstName @4 :Text;
  afterEra @5 :UInt64;
}

struct TreePage {
  revision @0 :UInt64;
  lineage @1 :Text;
  body @2 :Data;
  isLast @3 :Bool;
}

struct TicketOpen {
  requestId @0 :Text;
  customer @1 :Text;
  ticket @2 :Text;
  fingerprint @3 :Text;
}

struct TicketVerdict {
  requestId @0 :Text;
  verdict @1 :Text;
}

struct TicketClose {
  customer @0 :Text;
  ticket @1 :Text;
  requestId @2 :Text;
  outcome @3 :Text;
}

struct PartTrial {
  requestId @0 :Text;
  suspects @1 :List(Text);
  isRunning @2 :Bool;
  soundParts @3 :List(Text);
}

struct Suspicion {
  pool @0 :Text;
  fingerprint @1 :Text;
  upstream @2 :Text;
  requestId @3 :Text;
  parts @4 :List(Text);
  isStarted @5 :Bool;
  bornMs @6 :UInt64;
  ageMs @7 :UInt64;
  ranMs @8 :UInt64;
}

struct RolloutGrant {
  service @0 :Text;
  target @1 :Text;
  durationMs @2 :Float64;
  phase @3 :Text;
  elapsedMs @4 :Float64;
  revision @5 :UInt64;
}

struct VersionTally {
  isTarget @0 :Bool;
  route @1 :Text;
  replica @2 :Text;
  requestCount @3 :UInt32;
  endedCount @4 :UInt32;
  badCount @5 :UInt32;
}

struct RolloutReport {
  service @0 :Text;
  target @1 :Text;
  durationMs @2 :Float64;
  phase @3 :Text;
  elapsedMs @4 :Float64;
  oldCount @5 :UInt32;
  drainMs @6 :UInt32;
  tallies @7 :List(VersionTally);
}
