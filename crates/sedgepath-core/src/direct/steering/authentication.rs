//! Which client account a request belongs to.

use std::sync::Arc;

use super::Steering;
use crate::direct::accounts::{ClientAccount, Credential, PresentedCredential};
use crate::direct::attempts::{RejectionReason, RequestState};
use crate::direct::routing::{Configuration, Route};

/// Returns the client account of a request with its credential, or `None` if it needs and has none.
///
/// # Errors
///
/// Returns the reason of the rejection if the route needs an account and the request presents no key
/// of one.
pub(super) fn authenticate(
    configuration: &Configuration,
    route: &Route,
    presented: PresentedCredential,
) -> Result<Option<(Credential, Arc<ClientAccount>)>, RejectionReason> {
    let Some(accounts) = &configuration.accounts else {
        return Ok(None);
    };
    let holder = match presented {
        PresentedCredential::Key(credential) => {
            accounts.holder(credential).map(|account| (credential, Arc::clone(account)))
        }
        PresentedCredential::None | PresentedCredential::Malformed => None,
    };
    match holder {
        None if !route.is_public => Err(RejectionReason::Unauthenticated),
        holder => Ok(holder),
    }
}

impl Steering {
    /// Returns the name of the client account that holds a presented credential.
    pub fn account_name(&self, presented: PresentedCredential) -> Option<Box<str>> {
        let accounts = self.configuration.as_ref()?.accounts.as_ref()?;
        match presented {
            PresentedCredential::Key(credential) => {
                accounts.holder(credential).map(|account| account.name.clone())
            }
            PresentedCredential::None | PresentedCredential::Malformed => None,
        }
    }

    /// Returns whether a request may still be sent: its account holds its key under the active
    /// configuration too, which may have changed since the request arrived.
    pub(super) fn is_still_authorized(&self, request: &RequestState) -> bool {
        let (Some((credential, account)), Some(configuration)) =
            (&request.account, &self.configuration)
        else {
            return true;
        };
        if request.version == configuration.version {
            return true;
        }
        let accounts = configuration.accounts.as_ref();
        let holder = accounts.and_then(|accounts| accounts.holder(*credential));
        holder.is_some_and(|holder| holder.key == account.key)
    }
}
