//! Selection of the omitted safeguard and of the violation to check for.

/// The omitted safeguard of a model with safeguards `G`, and the violation to check for among `V`.
#[derive(Debug, Clone)]
pub(crate) struct Variant<G, V> {
    removed_safeguard: Option<G>,
    target_violation: Option<V>,
}

impl<G: PartialEq, V: Copy + PartialEq> Variant<G, V> {
    /// Creates a variant with all safeguards, checked for every violation.
    pub(crate) fn new() -> Self {
        Self { removed_safeguard: None, target_violation: None }
    }

    /// Omits one safeguard.
    pub(crate) fn without_safeguard(self, removed: G) -> Self {
        Self { removed_safeguard: Some(removed), ..self }
    }

    /// Checks for one violation only.
    pub(crate) fn with_target_violation(self, target: V) -> Self {
        Self { target_violation: Some(target), ..self }
    }

    /// Returns whether the variant includes a safeguard.
    pub(crate) fn enforces(&self, safeguard: G) -> bool {
        self.removed_safeguard != Some(safeguard)
    }

    /// Returns the first checked violation of `all` that `is_present`.
    pub(crate) fn first_violation(
        &self,
        all: impl IntoIterator<Item = V>,
        is_present: impl Fn(V) -> bool,
    ) -> Option<V> {
        all.into_iter()
            .filter(|violation| self.target_violation.is_none_or(|target| target == *violation))
            .find(|violation| is_present(*violation))
    }
}
