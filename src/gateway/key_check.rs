//! Check of callers' keys against the configuration in force, on arrival and before each send.

use std::sync::Arc;

use hyper::Method;

use super::accounts::{Account, DetourProof, KeyFault, ProvedRequest};
use super::catalog::{Catalog, Route};
use super::protocol::{AccountHeader, RequestHead};
use super::serve::{RoutedRequest, SendHistory};
use crate::verdict::{Cause, Refusal};

/// The account of a request in a configuration; none where the request needs none.
///
/// # Errors
///
/// [`KeyFault`] where the route needs a key and no account holds the one that the request shows.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use brassrack::gateway::accounts::{Account, Accounts, KeyDigest, KeyFault};
/// use brassrack::gateway::catalog::{Catalog, Limits, Route};
/// use brassrack::gateway::key_check::account_of;
/// use brassrack::gateway::protocol::RequestHead;
/// use hyper::Method;
///
/// let mut accounts = Accounts::default();
/// let desk = Account { name: "desk".into(), ..Account::default() };
/// accounts.insert(desk, [KeyDigest::of("k1")]);
/// let catalog = Catalog::new(1, Vec::new(), BTreeMap::new(), Limits::default());
/// let catalog = catalog.with_accounts(Some(accounts));
/// let head = RequestHead { key: Some(KeyDigest::of("k2")), ..RequestHead::default() };
/// let (route, public) = (Route::example(), Route { is_public: true, ..Route::example() });
/// let account = |route| account_of(&catalog, route, &head, &Method::GET, "/drafts/7");
/// assert_eq!(account(&route), Err(KeyFault::UnknownKey));
/// assert_eq!(account(&public), Ok(None));
/// ```
pub fn account_of(
    catalog: &Catalog,
    route: &Route,
    head: &RequestHead,
    method: &Method,
    path: &str,
) -> Result<Option<Arc<Account>>, KeyFault> {
    let Some(accounts) = &catalog.accounts else {
        return Ok(None);
    };
    let request = ProvedRequest {
        id: &head.id,
        method: method.as_str(),
        path,
    };
    match accounts.holder(head.key.as_ref(), head.proof.as_ref(), request) {
        Ok(account) => Ok(Some(Arc::clone(account))),
        Err(_) if route.is_public => Ok(None),
        Err(fault) => Err(fault),
    }
}

/// The refusal of a request without a known key, which is logged with the version that decided.
#[must_use]
pub fn refusal_of(fault: KeyFault, id: &str, route: &str, version: u64) -> Refusal {
    log::info!(id = id, route = route, version = version, fault:% = fault; "key refused");
    Refusal::not_run(Cause::UnknownKey).detail("no account holds the key")
}

impl RoutedRequest {
    /// Priority of the request: its account's, else its route's.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        account
            .and_then(|account| account.priority)
            .unwrap_or(self.route.priority)
    }

    /// Refuses the request where its key is no longer held in the version in force.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says whether the request may have run.
    pub fn check_key(&self, history: &SendHistory) -> Result<(), Refusal> {
        let Err((fault, version)) = self.sending_account() else {
            return Ok(());
        };
        let refusal = refusal_of(fault, &self.head.id, &self.route.name, version);
        Err(refusal.raise_verdict(history.verdict()))
    }

    /// What the next send of the request carries as its account.
    #[must_use]
    pub fn account_header(&self) -> AccountHeader {
        match self.current_account() {
            Some(account) => AccountHeader::Set(account.name.clone()),
            None if self.has_accounts() => AccountHeader::Remove,
            None => AccountHeader::Keep,
        }
    }

    /// Proof for another instance that this one has seen the key of the request's account.
    #[must_use]
    pub fn detour_proof(&self) -> Option<DetourProof> {
        let (account, key) = (self.current_account()?, self.head.key.as_ref()?);
        let request = ProvedRequest {
            id: &self.head.id,
            method: self.method.as_str(),
            path: self.uri.path(),
        };
        Some(DetourProof::new(&account.name, key, request))
    }

    /// The account in whose name the request is sent now.
    ///
    /// The key has just been checked; one removed since then is found before the next send.
    fn current_account(&self) -> Option<Arc<Account>> {
        let account = self.sending_account();
        account.unwrap_or_else(|_| self.account.clone())
    }

    fn has_accounts(&self) -> bool {
        let catalog = self.gateway.catalog();
        catalog.is_some_and(|catalog| catalog.accounts.is_some())
    }

    /// The account in whose name the request is sent now, or why its key is refused and the version
    /// that decides it.
    ///
    /// The account that was charged stays where its key has gone to another one.
    fn sending_account(&self) -> Result<Option<Arc<Account>>, (KeyFault, u64)> {
        let newer = self.gateway.catalog();
        let newer = newer.filter(|c| c.version != self.version && c.accounts.is_some());
        let Some(catalog) = newer else {
            return Ok(self.account.clone());
        };
        let path = self.uri.path();
        let current = account_of(&catalog, &self.route, &self.head, &self.method, path);
        let current = current.map_err(|fault| (fault, catalog.version))?;
        Ok(current.map(|current| self.account.clone().unwrap_or(current)))
    }
}
