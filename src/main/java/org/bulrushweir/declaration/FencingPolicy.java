package org.bulrushweir.declaration;

/** Determines which process rejects orders that carry a stale fencing token. */
public enum FencingPolicy {
  /** The engine rejects them itself. */
  CHECKED,
  /** The engine executes every order, so the sidecar must reject stale ones. */
  IGNORED
}
