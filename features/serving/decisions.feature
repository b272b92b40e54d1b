Feature: the decisions of serving, without a network

  Scenario: the longest prefix at a slash selects the route
    # Two routes of a host begin the same way. A request for the longer one
    # must not reach the other's service, nor one that merely begins alike.
    When requests are matched against routes of two hosts
    Then each finds the longest prefix of its own host, or none

  Scenario: a configuration never goes back
    # A late answer brings an older version after the newer one is in force.
    # Dropped routes would be served again and removed keys accepted.
    Given a deployment with version 7 in force
    When versions 3, 7 and 9 are applied in turn
    Then only version 9 is put in force

  Scenario: a replica that said it leaves gets no work until it is born anew
    # The list lags by a second. A replica that answers for another one has
    # lost its address; whoever goes by the list sends it more.
    Given a deployment with two replicas of a service
    When one of them turns out to have another's address
    Then only the other one may be used
    And it may be used again once the list tells of a new start under its id

  Scenario: a customer's priority goes before its route's
    # All customers have the same priority. Taken alone it puts a digest that a
    # crew waits for in the road behind a question that can wait.
    Given a deployment with routes of priority 0 and 2
    When customers of priority 0, 1 and of none ask on both
    Then customers come first, routes decide among equals, and alone without

  Scenario: a replica that drains gets no new work
    # A replica reports that it drains while a request's stages are still
    # being made for it. The choice of before must not hold.
    Given a deployment with two replicas of a service
    When one of them reports that it drains
    Then only the other one may be used

  Scenario: retries of all daemons keep to the shared allowance
    # Six daemons each see a failing service. If each spends the whole
    # allowance it is exceeded sixfold and an outage is multiplied.
    When six daemons spend retries as fast as they may for a minute
    Then no window of ten seconds holds more than the allowance
    And daemons that ignore the others break it

  Scenario: a replica that fails part of its requests loses most of them
    # It answers its health check and fails four of ten requests. Nothing but
    # the outcomes shows it. Once it is well it must get its share back.
    When one of three replicas fails four of ten requests for a while
    Then it gets less than a tenth of the requests meanwhile
    And at least a fifth of them soon after it is well

  Scenario: requests of one subject stay on one engine
    # An engine that has read a subject's long prompt reads it no more.
    When 300 requests of 30 subjects are placed on five engines
    Then each subject's part is read by one engine, few by two

  Scenario: a hot subject spreads over the engines
    # Half of the traffic is suddenly about one thing. Its one engine would
    # serve it alone while four idle.
    When 60 requests of one subject are placed on five engines at once
    Then no engine has more than twice its share of them

  Scenario: a short prompt does not queue behind a long one
    # A prompt of 50,000 tokens takes a second to read. Counted as one request
    # it looks like any other.
    When a prompt of 50000 tokens is placed and then ten short ones
    Then none of the short ones goes to the long one's engine

  Scenario: an engine that fails requests is left
    # Its port answers and its requests break off.
    When an engine fails the first three requests it gets
    Then the next ten requests go to other engines

  Scenario: a placer that knows nothing sends subjects to where they were
    # The daemon that decided dies and another one begins without its
    # knowledge. Every subject would be read again somewhere else.
    When two placers that know nothing place 40 subjects
    Then both place at least 30 of them on the same engine

  Scenario: the memory of a placer is bounded by its engines' own
    # Engines forget what was used least; a placer that does not counts on
    # prompts that are long gone.
    When 500 subjects of 20000 tokens are placed on one engine
    Then the placer believes in no more than the engine's memory

  Scenario: a daemon that no longer decides names the one that does
    # A decider leaves. For half a second some daemons have not heard of it and
    # ask it all the same; deciding for themselves they would fill calls alone.
    Given three daemons of which one decides for a service
    When it says that another one decides by now
    Then that one is asked, until gossip has had its time
    And not if it is silent, and not if it is this daemon itself

  Scenario: results are freed once nothing needs them
    # Results of the first stage lay in their makers' memory until the request
    # was answered, and the first stage could make no more of them.
    Given stages of which none is behind
    When a request runs through both of them
    Then the first one's results are freed, and not the ones the request needs

  Scenario: pieces are made where most of their inputs lie
    # Each piece fetches all results of the stage before, between data centres
    # if its replica stands elsewhere.
    When pieces with two inputs here and one there are queued
    Then they belong here

  Scenario: a request that would not come through is refused at its arrival
    # The first stage is free and the second one is seconds behind. Begun, the
    # request takes the first one's time and is given up in the second's queue.
    Given stages of which the second is 5 seconds behind
    When a request comes whose caller waits 2 seconds, and one that waits 9
    Then the first is refused unrun with a time to come back, and begins nothing
    And the second is made

  Scenario: the parts of a request's graph that are left out pass inputs on
    # A request may leave out a stage. Its followers work on what that stage
    # would have worked on; given nothing they would make a wrong result.
    When a graph of four stages runs with its second stage left out
    Then the third stage works on the first one's results
    And the request itself needs the results of the last stage alone

  Scenario: a replica gets no more connections than this daemon's share
    # A booking desk stalls. Its replicas accept 96 connections from all callers
    # and reset what comes beyond: crews were told that the outcome of a booking
    # was unknown, though nothing had run.
    Given a replica that accepts 96 connections from six daemons
    When twelve requests are under way there from one daemon
    Then another one fits, and none after it until one has ended
    And a daemon that knows no limit, or of no other daemon, still sends one
