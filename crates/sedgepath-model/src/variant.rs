//! Which safeguard a model leaves out, and what the search looks for.

/// A variant of a model with safeguards `G` and violations `V`.
#[derive(Debug, Clone)]
pub(crate) struct Variant<G, V> {
    removed: Option<G>,
    searched: Option<V>,
}

impl<G: PartialEq, V: Copy + PartialEq> Variant<G, V> {
    /// Creates the variant that keeps all safeguards and looks for every violation.
    pub(crate) fn new() -> Self {
        Self { removed: None, searched: None }
    }

    /// Leaves out one safeguard.
    pub(crate) fn with_removed(self, removed: G) -> Self {
        Self { removed: Some(removed), ..self }
    }

    /// Looks for one violation only.
    pub(crate) fn with_searched(self, searched: V) -> Self {
        Self { searched: Some(searched), ..self }
    }

    /// Says whether the variant keeps a safeguard.
    pub(crate) fn keeps(&self, safeguard: G) -> bool {
        self.removed != Some(safeguard)
    }

    /// Returns the first of `all` violations that is looked for and that `is_present`.
    pub(crate) fn first_violation(
        &self,
        all: impl IntoIterator<Item = V>,
        is_present: impl Fn(V) -> bool,
    ) -> Option<V> {
        all.into_iter()
            .filter(|violation| self.searched.is_none_or(|searched| searched == *violation))
            .find(|violation| is_present(*violation))
    }
}
