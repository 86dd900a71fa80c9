//! Why a note of another sender was dropped. Nothing has changed then.

/// Why a note was dropped; nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HotError {
    /// From nobody of the fleet, or from the reader itself.
    #[error("from no other sender of the fleet")]
    Stranger,
    /// Longer than [`LONGEST_BODY`](crate::LONGEST_BODY).
    #[error("longer than a note's body may be")]
    TooLong,
    /// Not what a sender encodes: damaged, cut, with bytes left over, or with figures that contradict one another.
    #[error("not a note that a sender encodes")]
    Malformed,
    /// Of a pane that the reader's clock does not have in its window.
    #[error("of a pane outside the window")]
    Pane,
    /// Of more than a sender's door lets in.
    #[error("of more than a sender may be handed")]
    Beyond,
    /// Of an older incarnation than one that was heard of.
    #[error("of an older incarnation")]
    Incarnation,
}
