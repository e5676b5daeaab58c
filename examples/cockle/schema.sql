CREATE TABLE permits (
  permit_id TEXT PRIMARY KEY,
  holder TEXT NOT NULL,
  landing_site TEXT NOT NULL,
  valid_until TEXT NOT NULL
);
CREATE TABLE renewals (
  marker TEXT NOT NULL,
  permit_id TEXT NOT NULL,
  renewed_on TEXT NOT NULL
);
CREATE INDEX renewals_by_permit ON renewals (permit_id);
CREATE TABLE quotas (
  bed TEXT PRIMARY KEY,
  kilograms_left INTEGER NOT NULL,
  closes_at TEXT NOT NULL
);
CREATE TABLE celeryfold_outcomes (
  outcome_key TEXT PRIMARY KEY,
  digest TEXT NOT NULL,
  answer TEXT NOT NULL
);
