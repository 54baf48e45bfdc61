//! What bodies are kept for.

/// What a body is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Head of a request that is not complete.
    Head,
    /// Request of a caller, until its last attempt has ended.
    Request,
    /// Whole answer of an upstream, until its caller has it.
    Answer,
    /// Events of a stream that are not forwarded yet.
    Stream,
    /// Request that is forwarded for another daemon.
    ForwardedRequest,
    /// Answer of the source of published values.
    Source,
    /// Request of an operator.
    Operator,
}

impl Purpose {
    /// All purposes, in the order of their indices.
    pub const ALL: [Self; 7] = [
        Self::Head,
        Self::Request,
        Self::Answer,
        Self::Stream,
        Self::ForwardedRequest,
        Self::Source,
        Self::Operator,
    ];

    /// Name in metrics and logs; it must not change.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Stream => "stream",
            Self::ForwardedRequest => "forwarded_request",
            Self::Source => "source",
            Self::Operator => "operator",
        }
    }

    pub(crate) const fn index(self) -> usize {
        self as usize
    }

    /// Whether what the body belongs to may have run already, so that its loss costs work.
    pub(crate) const fn has_run(self) -> bool {
        match self {
            Self::Answer | Self::Stream => true,
            Self::Head | Self::Request | Self::ForwardedRequest | Self::Source | Self::Operator => {
                false
            }
        }
    }
}
