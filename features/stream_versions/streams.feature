Feature: a stream goes on only at the software version that began it

  Scenario Outline: streams keep to their software version while <what>
    # Guards against streams that hold events of two software versions, in one
    # answer or over the tries of a caller.
    Given engines of several versions while <what>
    When their streams are played with two seeds
    Then no stream holds events of two software versions
    And every event comes once, and streams go on as often as new ones begin
    And what cannot go on is told at once

    Examples: disturbances
      | what                                       |
      | their answers break off                    |
      | daemons are killed                         |
      | daemons restart in turn                    |
      | daemons lose power                         |
      | all daemons are killed                     |
      | all daemons are killed as a version leaves |
      | daemons are cut off from the others        |
      | daemons reach them through others          |
      | the decider is killed again and again      |
      | a release is rolled back                   |
      | all replicas of a version are replaced     |
      | entries come late                          |
      | replicas return with other software        |
      | a daemon is cut off as a version joins     |
