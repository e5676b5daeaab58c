CREATE TABLE reports (
  marker TEXT NOT NULL,
  project TEXT NOT NULL,
  kind TEXT NOT NULL,
  filed_on TEXT NOT NULL
);
CREATE INDEX reports_by_project ON reports (project);
CREATE TABLE levels (
  well TEXT PRIMARY KEY,
  millimetres INTEGER NOT NULL,
  read_at TEXT NOT NULL
);
CREATE TABLE ledger (
  entry INTEGER PRIMARY KEY,
  project TEXT NOT NULL,
  tonnes REAL NOT NULL
);
CREATE TABLE celeryfold_outcomes (
  outcome_key TEXT PRIMARY KEY,
  digest TEXT NOT NULL,
  answer TEXT NOT NULL
);
