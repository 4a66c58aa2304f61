//! Finds a home node for a model that has none, or whose home does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use futures_util::future::join_all;
use http::Method;
use http::Request;
use http::Uri;

use crate::connection_pool::CallError;
use crate::connection_pool::ConnectionPool;
use crate::roster::HOME_PATH;
use crate::roster::HomeOffer;
use crate::roster::HomeQuestion;
use crate::roster::Roster;
use crate::seeds::Seeds;
use crate::submission::homes::Homes;
use crate::submission::records::NodeRef;

/// Timeout of a question to a seed node, which answers from memory.
const SEED_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks seed nodes for homes, and offers homes itself on a seed node; cheap to clone.
#[derive(Debug, Clone)]
pub struct HomeFinder {
    /// The seed nodes, and whether this node is one.
    pub seeds: Seeds,
    /// On a seed node, the nodes that follow it.
    pub roster: Arc<Roster>,
    /// Homes that are known.
    pub homes: Homes,
    /// Connections to seed nodes.
    pub connections: ConnectionPool,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The event log.
    pub journal: Journal,
}

impl HomeFinder {
    /// Returns the best home that a seed node offers for a model, other than `excluded`; `None` if
    /// there is no offer, and the caller should be the home.
    pub async fn find(&self, model: &str, excluded: Option<SocketAddr>) -> Option<NodeRef> {
        let question = HomeQuestion {
            model: model.to_owned(),
            excluded,
        };
        let seeds = self.seeds.current();
        let own = seeds.is_seed.then(|| self.local_offer(&question)).flatten();
        let requests = seeds
            .others
            .iter()
            .map(|seed| self.remote_offer(*seed, &question));
        let offers = join_all(requests).await.into_iter().flatten().chain(own);
        let best = offers.max_by(|a, b| a.score().compare(&b.score()));
        best.map(|offer| offer.home)
    }

    /// Returns the offer of another seed node; `None` if it has none or does not answer.
    async fn remote_offer(&self, seed: SocketAddr, question: &HomeQuestion) -> Option<HomeOffer> {
        match self.ask(seed, question).await {
            Ok(offer) => offer,
            Err(error) => {
                let model = &question.model;
                self.journal.event(
                    "home_not_named",
                    &[("seed", &seed), ("model", model), ("cause", &error)],
                );
                None
            }
        }
    }

    /// Returns the home that this node offers as a seed node.
    #[must_use]
    pub fn local_offer(&self, question: &HomeQuestion) -> Option<HomeOffer> {
        let now = self.clock.now();
        let assignments = self.homes.assignments();
        let offer = self.roster.home_for(now, question, &assignments)?;
        self.journal.event(
            "home_named",
            &[
                ("model", &question.model),
                ("home", &offer.home.node),
                ("share", &offer.capacity_share),
            ],
        );
        Some(offer)
    }

    async fn ask(
        &self,
        seed: SocketAddr,
        question: &HomeQuestion,
    ) -> Result<Option<HomeOffer>, CallError> {
        let body = serde_json::to_vec(question).map_err(|_never| CallError::NotSent)?;
        let mut request = Request::new(Blocks::from(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(HOME_PATH);
        let answer = self.connections.call(seed, request, SEED_TIMEOUT).await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| CallError::Broken)
    }
}
