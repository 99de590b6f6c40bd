package org.bulrushweir.declaration;

/** Says who refuses orders that carry an old fencing number. */
public enum FencingPolicy {
  /** The engine itself refuses them. */
  CHECKED,
  /** The engine carries out any order; the sidecar has to refuse. */
  IGNORED
}
