Feature: what a replica says is asked for before every send

  Scenario Outline: a replica <speaks> while a <kind> connects to it
    # Guards against a send that was decided before the replica spoke.
    Given one replica, which <speaks> while a connection to it is made
    When a <kind> is sent to it
    Then nothing was sent, and the replica is not to blame

    Examples:
      | speaks         | kind   |
      | asks for rest  | call   |
      | asks for rest  | stream |
      | says it leaves | call   |
      | says it leaves | stream |

  Scenario Outline: a stage whose replica <speaks> while a call connects
    # Guards against calls of a stage to a replica that has just spoken.
    Given one replica, which <speaks> while a connection to it is made
    When a stage's pieces are computed
    Then its calls begin <begin>

    Examples:
      | speaks         | begin             |
      | asks for rest  | as the rest ends  |
      | says it leaves | never             |

  Scenario: a stage's call that is refused with a rest
    # Guards against a queue that goes on to call a replica that wants rest.
    Given a stage's replica that refuses the first call and asks for rest
    When a stage's pieces are computed
    Then its calls begin at once and as the rest ends

  Scenario Outline: a stage whose only replica rests for <rest> s
    # Guards against pieces that wait for a replica until their time is over.
    Given a stage's replica that rests for <rest> s
    When a request with 4 s left asks for pieces
    Then it is <answered>

    Examples:
      | rest | answered                                |
      | 1    | served                                  |
      | 6    | refused at once, to come back after 5 s |

  Scenario Outline: results at a replica that <wants>
    # Guards against calls that free results at a replica that wants nothing, and
    # against results that are then never freed.
    Given a stage's replica that <wants>
    When results at it are freed
    Then it is called for them <called>

    Examples:
      | wants                                            | called                         |
      | rests for 1 s                                    | once, as the rest ends         |
      | refuses the first call and asks for rest         | twice, again as the rest ends  |
      | asks for rest while a connection to it is made   | once, as the rest ends         |

  Scenario Outline: memory of a replica that <wants>
    # Guards against reports that are asked of a replica that wants nothing, and
    # against a report's word that nobody hears.
    Given a stage's replica that <wants>
    When its memory is asked for
    Then it is asked <times> times, and <accepts> more

    Examples:
      | wants                                     | times | accepts        |
      | rests for 1 s                             | 0     | accepts none   |
      | refuses the first call and asks for rest  | 1     | accepts none   |
      | says that it leaves in a report           | 1     | accepts none   |
      | says that another process leaves          | 2     | accepts some   |

  Scenario: the other replica of a service rests
    # Guards against an attempt that is given little time as if another replica
    # could take over, and against a stream that is cut for that.
    Given a service with two replicas of which one asks for rest
    Then a request to the other one has nowhere else to go
    And only the other one is a candidate, and the decider is told so
    And a request is held for neither, and told nothing of a rest
    And a stream cannot go on elsewhere, though a third replica has other software

  Scenario: a replica that the decider offers and that leaves
    # Guards against a decider that offers a leaving replica again and again.
    Given a service with two replicas of which one says that it leaves
    Then only the other one is a candidate, and the decider is told so

  Scenario Outline: a replica that <speaks> while the decider chooses it
    # Guards against a choice that was made before the replica spoke.
    Given a decider that chooses a replica which then <speaks>
    When one of them is chosen for a request
    Then the other replica is chosen

    Examples:
      | speaks         |
      | asks for rest  |
      | says it leaves |

  Scenario: a stream goes on at a replica that rests
    # Guards against a question for its start to a replica that wants nothing.
    Given a service with two replicas of which one asks for rest
    When a stream that has begun may go on at the one that rests
    Then the replica is not asked, and not admitted

  Scenario Outline: an answer of <whom> that says that its replica leaves
    # Guards against a replica that gets no work for what another one said.
    Given a replica whose answers are those of <whom>, and say that it leaves
    When a call is sent to it
    Then <what> is known of it

    Examples:
      | whom            | what           |
      | the request     | that it leaves |
      | another request | nothing        |
      | another replica | nothing        |
